/**
 * Memory that the members of a group set aside for one prompt. The entry
 * renews its leases while the request runs and releases them when it ends; if
 * the entry dies, they lapse by themselves.
 *
 * They are renewed only on a sign of life of the engine that leads: one that
 * goes dark before its first event resets nothing, and its members' memory
 * would be held for a request that runs nowhere.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {createMemoryLeases} from './memory_leases.js';
import type {MemoryLease} from './memory_leases.js';
import type {
  DirectReplica,
  GroupMember,
  ReadReport,
  Reservations,
} from './types.js';

/** A lease is renewed after this share of its time. */
const RENEW_SHARE = 0.45;
/** What the lead sent this long ago is a sign of life still. */
const HEARD_MS = 300;
/** Questions without an answer until the lead counts as gone. */
const LIFE_TRIES = 2;
/** Members that are asked in turn until one says whether its memory is used. */
const USE_TRIES = 2;

/** A group whose members all hold their part. */
export interface Group {
  readonly members: readonly GroupMember[];
  /** The lead sent something. */
  heard(): void;
  /** `onSilent` is called once, when the lead gives no sign of life. */
  watchLead(onSilent: () => void): void;
  /** Releases all members. */
  close(): void;
}

/** What a group is opened for. */
export interface GroupRequest {
  readonly requestId: string;
  /** Reads a part as well, and writes; its own part needs no reservation. */
  readonly lead: DirectReplica;
  readonly helpers: readonly DirectReplica[];
  /** Of each helper's part. */
  readonly tokens: number;
}

export interface GroupsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  /** Prefix of the reservations' ids, unique to this process. */
  readonly idPrefix: string;
  /** Time of one lease, in milliseconds. */
  readonly holdMs: number;
}

export interface Groups {
  /** All members or none; a refusal names the replica that refused. */
  open(req: GroupRequest): Promise<Group | {readonly refusedBy: string}>;
  /** Reservations that are held, or may be. */
  held(): number;
}

/** What a member says of its memory; `untold` where it lists no reservations. */
type MemoryUse = 'used' | 'unused' | 'untold';

export function createGroups(options: GroupsOptions): Groups {
  const {clock, log, holdMs} = options;
  const leases = createMemoryLeases(options);

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  /** Whether the lead is the start that was chosen, and answers. */
  const isAlive = async ({address, startedAt}: DirectReplica) => {
    for (let tries = 1; tries <= LIFE_TRIES; tries++) {
      const report = await options.readReport(address);
      if (report === undefined) continue;
      const isSame =
        startedAt === undefined ||
        report.startedAt === undefined ||
        startedAt === report.startedAt;
      return isSame;
    }
    return false;
  };

  /** Undefined when no member that was asked answers. */
  const askForUse = async (
    held: readonly MemoryLease[],
  ): Promise<MemoryUse | undefined> => {
    for (const {address, id} of held.slice(0, USE_TRIES)) {
      const report = await options.readReport(address);
      if (report === undefined) continue;
      const {reservations} = report;
      if (reservations === undefined) return 'untold';
      return reservations.get(id) === 'used' ? 'used' : 'unused';
    }
    return undefined;
  };

  const groupOf = (
    {requestId, lead, tokens}: GroupRequest,
    asked: readonly MemoryLease[],
  ): Group => {
    const reservedAt = clock.now();
    let heardAt = reservedAt;
    let usedAt = reservedAt;
    let use: MemoryUse | undefined;
    let isOpen = true;
    let held = asked;
    let onLeadSilent = () => {};
    log(DIRECT_EVENTS.memoryReserved, {
      requestId,
      tokens,
      members: asked.map(({address, id}) => `${address}/${id}`),
    });

    const isHeard = () => clock.now() - heardAt < HEARD_MS;
    const noteUse = async () => {
      if (isHeard()) return;
      use = await askForUse(held);
      if (use === 'used') usedAt = clock.now();
    };
    const leadLives = async () => isHeard() || (await isAlive(lead));
    const renewAll = async () => {
      const kept = await Promise.all(held.map(lease => lease.renew()));
      held = held.filter((_lease, at) => kept[at]);
    };
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      log(DIRECT_EVENTS.memoryReleased, {
        requestId,
        heldMs: Math.round(clock.now() - reservedAt),
        use,
        unusedMs: Math.round(clock.now() - Math.max(usedAt, heardAt)),
      });
      for (const lease of asked) lease.release();
    };
    const keepRenewed = async (): Promise<void> => {
      for (;;) {
        await pause(holdMs * RENEW_SHARE);
        if (!isOpen) return;
        const [lives] = await Promise.all([leadLives(), noteUse()]);
        if (lives) {
          await renewAll();
          continue;
        }
        if (!isOpen) return;
        log(DIRECT_EVENTS.leadSilent, {requestId, replica: lead.id});
        close();
        onLeadSilent();
        return;
      }
    };
    void keepRenewed();
    return {
      members: asked.map(({address, id}) => ({address, reservation: id})),
      heard: () => {
        heardAt = clock.now();
      },
      watchLead: onSilent => {
        onLeadSilent = onSilent;
      },
      close,
    };
  };

  const open: Groups['open'] = async req => {
    const {requestId, helpers, tokens} = req;
    const asked = helpers.map(({address}) => leases.create(address, tokens));
    const answers = await Promise.all(asked.map(lease => lease.reserve()));
    const at = answers.findIndex(answer => answer !== 'done');
    if (at < 0) return groupOf(req, asked);
    const refusedBy = asked[at].address;
    const answer = answers[at];
    log(DIRECT_EVENTS.groupRefused, {requestId, refusedBy, answer});
    for (const lease of asked) lease.release();
    return {refusedBy};
  };

  return {open, held: leases.count};
}
