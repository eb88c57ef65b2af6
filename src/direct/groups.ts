/**
 * Memory that the members of a group set aside for one prompt. Each member
 * grants a lease under an id that is never used again. The entry renews the
 * leases while the request runs and releases them when it ends; if the entry
 * dies, they lapse by themselves.
 *
 * They are renewed only on a sign of life of the engine that leads: one that
 * goes dark before its first event resets nothing, and its members' memory was
 * held for 9 s for a request that ran nowhere.
 *
 * An order without an answer may be carried out seconds later. A reservation
 * that comes true after its release would hold memory that nobody uses, so
 * whatever was left unanswered is released again until no order can still come.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {
  DirectReplica,
  GroupMember,
  ReadReport,
  Reservations,
} from './types.js';

/** An unanswered order is carried out within this time, or never. */
const LATE_ORDER_MS = 13_000;
/** Between releases while an order may still come. */
const SWEEP_MS = 1_500;
/** Between tries of an order that got no answer. */
const AGAIN_MS = 150;
/** Tries of a reservation before the group is given up. */
const RESERVE_TRIES = 2;
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

interface Lease {
  readonly address: string;
  readonly id: string;
  readonly tokens: number;
  /** When an order of this lease was last left unanswered. */
  unansweredAt: number;
  closed: boolean;
}

export function createGroups(options: GroupsOptions): Groups {
  const {clock, log, orders, holdMs} = options;
  const leases = new Set<Lease>();
  let count = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  const reserve = async (lease: Lease) => {
    const {address, id, tokens} = lease;
    const answer = await orders.reserve(address, id, tokens, holdMs);
    if (answer === 'unknown') lease.unansweredAt = clock.now();
    return answer;
  };

  const firstReserve = async (lease: Lease) => {
    for (let tries = 1; ; tries++) {
      const answer = await reserve(lease);
      if (answer !== 'unknown' || tries >= RESERVE_TRIES) return answer;
    }
  };

  /** Whether the member still holds its part. */
  const renew = async (lease: Lease): Promise<boolean> => {
    while (!lease.closed) {
      const answer = await reserve(lease);
      // The renewal may have overtaken the release of a group that ended.
      if (lease.closed) void release(lease);
      if (answer !== 'unknown') return answer === 'done';
      await pause(AGAIN_MS);
    }
    return false;
  };

  const renewAll = async (
    held: readonly Lease[],
  ): Promise<readonly Lease[]> => {
    const kept = await Promise.all(held.map(renew));
    return held.filter((_lease, at) => kept[at]);
  };

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
    held: readonly Lease[],
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

  const release = async (lease: Lease): Promise<void> => {
    lease.closed = true;
    const endsAt = clock.now() + LATE_ORDER_MS;
    while (clock.now() < endsAt) {
      const answer = await orders.release(lease.address, lease.id);
      const mayCome = clock.now() - lease.unansweredAt < LATE_ORDER_MS;
      if (answer !== 'unknown' && !mayCome) break;
      await pause(answer === 'unknown' ? AGAIN_MS : SWEEP_MS);
    }
    leases.delete(lease);
  };

  const leaseOf = ({address}: DirectReplica, tokens: number): Lease => ({
    address,
    id: `${options.idPrefix}-${++count}`,
    tokens,
    unansweredAt: Number.NEGATIVE_INFINITY,
    closed: false,
  });

  const groupOf = (req: GroupRequest, asked: readonly Lease[]): Group => {
    const {requestId, tokens} = req;
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
    const close = () => {
      if (isOpen) {
        log(DIRECT_EVENTS.memoryReleased, {
          requestId,
          heldMs: Math.round(clock.now() - reservedAt),
          use,
          unusedMs: Math.round(clock.now() - Math.max(usedAt, heardAt)),
        });
      }
      isOpen = false;
      for (const lease of asked) if (!lease.closed) void release(lease);
    };
    const isHeard = () => clock.now() - heardAt < HEARD_MS;
    const noteUse = async () => {
      if (isHeard()) return;
      use = await askForUse(held);
      if (use === 'used') usedAt = clock.now();
    };
    const leadLives = async () => isHeard() || (await isAlive(req.lead));
    const keepRenewed = async (): Promise<void> => {
      for (;;) {
        await pause(holdMs * RENEW_SHARE);
        if (!isOpen) return;
        const [lives] = await Promise.all([leadLives(), noteUse()]);
        if (lives) {
          held = await renewAll(held);
          continue;
        }
        if (!isOpen) return;
        log(DIRECT_EVENTS.leadSilent, {requestId, replica: req.lead.id});
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

  return {
    open: async req => {
      const {requestId, helpers, tokens} = req;
      const asked = helpers.map(helper => leaseOf(helper, tokens));
      for (const lease of asked) leases.add(lease);
      const answers = await Promise.all(asked.map(firstReserve));
      const at = answers.findIndex(answer => answer !== 'done');
      if (at < 0) return groupOf(req, asked);
      const refusedBy = asked[at].address;
      const answer = answers[at];
      log(DIRECT_EVENTS.groupRefused, {requestId, refusedBy, answer});
      for (const lease of asked) void release(lease);
      return {refusedBy};
    },
    held: () => leases.size,
  };
}
