/**
 * Memory that the members of a group set aside for one prompt. The entry
 * renews its leases while the request runs and releases them when it ends; if
 * the entry dies, they lapse by themselves.
 *
 * They are renewed only on a sign that the memory is used and that the engine
 * which leads is alive. One that goes dark before its first event resets
 * nothing; one that takes a request and never begins it answers for its state
 * all the while. For both the members' memory was held for nobody, for as long
 * as the entry waited for the first event.
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
/** What the lead sent this long ago is a sign of life and use still. */
const HEARD_MS = 300;
/** Questions without an answer until the lead counts as gone. */
const LIFE_TRIES = 2;
/** Members that are asked in turn until one says whether its memory is used. */
const USE_TRIES = 2;

/** Why a group's memory was released before its request ended. */
export type GroupLoss = 'the lead is silent' | 'the memory is unused';

/** A group whose members all hold their part. */
export interface Group {
  readonly members: readonly GroupMember[];
  /** The lead sent something. */
  noteActivity(): void;
  /** `onLost` is called once, when the memory is released for this reason. */
  watchLoss(onLost: (loss: GroupLoss) => void): void;
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
  /** Memory without a sign of use for this long is released, in milliseconds. */
  readonly unusedMs: number;
}

export interface Groups {
  /** All members or none; a refusal names the replica that refused. */
  open(req: GroupRequest): Promise<Group | {readonly refusedBy: string}>;
  /** Reservations that are held, or may be. */
  reservationCount(): number;
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
    let onLost = (_loss: GroupLoss) => {};
    log(DIRECT_EVENTS.memoryReserved, {
      requestId,
      tokens,
      members: asked.map(({address, id}) => `${address}/${id}`),
    });

    const unusedMs = () => clock.now() - Math.max(usedAt, heardAt);
    const isHeard = () => clock.now() - heardAt < HEARD_MS;
    const noteUse = async () => {
      if (isHeard()) return;
      use = await askForUse(held);
      // Without a word of its use, the lead's life is all there is to go by.
      if (use === 'used' || use === 'untold') usedAt = clock.now();
    };
    const leadLives = async () => isHeard() || (await isAlive(lead));
    const findLoss = async (): Promise<GroupLoss | undefined> => {
      const [lives] = await Promise.all([leadLives(), noteUse()]);
      if (!lives) return 'the lead is silent';
      return unusedMs() > options.unusedMs ? 'the memory is unused' : undefined;
    };
    // Each by itself: awaited together, one member whose answers are lost would
    // keep the others' leases from renewal, and their use from being looked at.
    const renew = async (lease: MemoryLease) => {
      const isKept = await lease.renew();
      if (!isKept) held = held.filter(it => it !== lease);
    };
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      log(DIRECT_EVENTS.memoryReleased, {
        requestId,
        heldMs: Math.round(clock.now() - reservedAt),
        use,
        unusedMs: Math.round(unusedMs()),
      });
      for (const lease of asked) lease.release();
    };
    const lose = (loss: GroupLoss) => {
      const {leadSilent, memoryUnused} = DIRECT_EVENTS;
      const line = loss === 'the lead is silent' ? leadSilent : memoryUnused;
      log(line, {requestId, replica: lead.id});
      close();
      onLost(loss);
    };
    const keepRenewed = async (): Promise<void> => {
      for (;;) {
        await pause(holdMs * RENEW_SHARE);
        if (!isOpen) return;
        const loss = await findLoss();
        if (!isOpen) return;
        if (loss !== undefined) return lose(loss);
        for (const lease of held) void renew(lease);
      }
    };
    void keepRenewed();
    return {
      members: asked.map(({address, id}) => ({address, reservation: id})),
      noteActivity: () => {
        heardAt = clock.now();
      },
      watchLoss: onLoss => {
        onLost = onLoss;
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

  return {open, reservationCount: leases.count};
}
