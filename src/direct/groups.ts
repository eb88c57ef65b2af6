/**
 * Reserves memory at the replicas of a group, which prefill one long prompt
 * together. The entry renews the leases while the request runs and releases
 * them when it ends. If the entry dies, the leases expire.
 *
 * The leases are renewed only on a sign of life of the lead, and while the
 * memory is used. A lead that becomes unreachable before its first event resets
 * no connection, and one that accepts a request but never starts it still
 * answers status requests. In both cases the members' memory would otherwise be
 * held without use for as long as the entry waits for the first event.
 *
 * Without an answer the leases are neither renewed nor released: the replicas
 * are asked again until the leases expire.
 */
import type {Clock, Log} from '../types/runtime.js';
import {createGuard, toProcess} from '../utils/callback_guard.js';
import type {StepOwner} from '../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {judgeMemory, memoryDeadline} from './decide/judge_memory.js';
import type {
  GroupLoss,
  LeadState,
  MemoryUse,
  MemoryVerdict,
} from './decide/judge_memory.js';
import {createMemoryLeases} from './memory_leases.js';
import type {MemoryLease} from './memory_leases.js';
import type {
  DirectReplica,
  GroupMember,
  ReadReport,
  Reservations,
} from './types.js';

/**
 * A lease is renewed after this share of its duration. What is left of it then
 * covers a replica that is silent for two and a half seconds, and the question
 * after that.
 */
const RENEW_SHARE = 0.22;
/**
 * Data that the lead sent within this time shows that it is alive and uses the
 * memory, so no status request is needed.
 */
const RECENT_ACTIVITY_MS = 300;
/**
 * Pause before a replica that did not answer is asked again, in milliseconds.
 * It is short against the time between a renewal and the end of a lease.
 */
const ASK_AGAIN_MS = 150;
/** Most members that are asked, in turn, whether their memory is used. */
const MAX_MEMBERS_ASKED = 2;

/** A group whose helpers have all reserved their memory. */
export interface Group {
  readonly members: readonly GroupMember[];
  /** Records that the lead sent data just now. */
  noteActivity(): void;
  /** `onLost` is called once, if the memory is released before `close`. */
  watchLoss(onLost: (loss: GroupLoss) => void): void;
  /** Releases the memory of all members. */
  close(): void;
}

/** The request for which memory is reserved, and the replicas of its group. */
export interface GroupRequest {
  readonly requestId: string;
  /**
   * The replica that gets the request. It prefills a part of the prompt itself
   * and decodes; its own part needs no reservation.
   */
  readonly lead: DirectReplica;
  readonly helpers: readonly DirectReplica[];
  /** Tokens to reserve at each helper. */
  readonly tokens: number;
  /**
   * Whether a reservation that was not answered may be sent to the helper
   * again.
   * @default always
   */
  mayRepeat?(helper: DirectReplica): boolean;
}

export interface GroupsOptions extends StepOwner {
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  /** Prefix of the reservations' ids, unique to this process. */
  readonly idPrefix: string;
  /** Duration of one lease, in milliseconds. */
  readonly holdMs: number;
  /**
   * Time after which the memory is released when nothing shows that it is used,
   * in milliseconds.
   */
  readonly unusedMs: number;
}

/** Why no memory was reserved. */
export interface GroupRefusal {
  /** Address of the replica that refused or did not answer. */
  readonly refusedBy: string;
  /** Whether no connection to that replica was established. */
  readonly isUnreachable: boolean;
}

export interface Groups {
  /** Reserves memory at all helpers or at none. */
  open(req: GroupRequest): Promise<Group | GroupRefusal>;
  /** Reservations that are held or may still be held. */
  reservationCount(): number;
}

export function createGroups(options: GroupsOptions): Groups {
  const {clock, log, holdMs, onError = toProcess} = options;
  const guard = createGuard(onError);
  const leases = createMemoryLeases(options);

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  const queryLead = async ({
    address,
    startedAt,
  }: DirectReplica): Promise<LeadState> => {
    const report = await options.readReport(address);
    if (report === undefined) return 'silent';
    const isSame =
      startedAt === undefined ||
      report.startedAt === undefined ||
      startedAt === report.startedAt;
    return isSame ? 'alive' : 'restarted';
  };

  /** Asks the members in turn; undefined when none of them answers. */
  const queryUse = async (
    held: readonly MemoryLease[],
  ): Promise<MemoryUse | undefined> => {
    for (const {address, id} of held.slice(0, MAX_MEMBERS_ASKED)) {
      const report = await options.readReport(address);
      if (report === undefined) continue;
      const {reservations} = report;
      if (reservations === undefined) return 'untold';
      return reservations.get(id) === 'used' ? 'used' : 'unused';
    }
    return undefined;
  };

  const createGroup = (
    {requestId, lead, tokens}: GroupRequest,
    reserved: readonly MemoryLease[],
  ): Group => {
    const reservedAt = clock.now();
    let lastActivityAt = reservedAt;
    let lastReportedUseAt = reservedAt;
    let leadBackAt = reservedAt;
    let renewedAt = reservedAt;
    let leadState: LeadState = 'alive';
    let use: MemoryUse | undefined;
    let isOpen = true;
    let held = reserved;
    let onLost = (_loss: GroupLoss) => {};
    log(DIRECT_EVENTS.memoryReserved, {
      requestId,
      tokens,
      members: reserved.map(({address, id}) => `${address}/${id}`),
    });

    const lastUseAt = () => Math.max(lastReportedUseAt, lastActivityAt);
    const isRecentlyActive = () =>
      clock.now() - lastActivityAt < RECENT_ACTIVITY_MS;
    const leasesEndAt = () => renewedAt + holdMs;
    const msToDeadline = () =>
      memoryDeadline(
        {lastUseAt: lastUseAt(), leasesEndAt: leasesEndAt()},
        options,
      ) - clock.now();
    /** Undefined when the answer does not come before the deadline. */
    const beforeDeadline = <T>(answer: Promise<T>): Promise<T | undefined> =>
      Promise.race([answer, pause(msToDeadline()).then(() => undefined)]);
    const noteLead = (state: LeadState) => {
      if (leadState === 'silent' && state === 'alive') leadBackAt = clock.now();
      leadState = state;
    };
    const noteUse = (reported: MemoryUse | undefined) => {
      use = reported;
      // Where members report no reservations, only the lead's life counts.
      if (use === 'used' || use === 'untold') lastReportedUseAt = clock.now();
    };
    const judge = (): MemoryVerdict =>
      judgeMemory(
        {
          now: clock.now(),
          lead: leadState,
          use: isRecentlyActive() ? 'used' : use,
          lastUseAt: lastUseAt(),
          leadBackAt,
          leasesEndAt: leasesEndAt(),
        },
        options,
      );
    const check = async (): Promise<MemoryVerdict> => {
      if (isRecentlyActive()) {
        noteLead('alive');
        return judge();
      }
      noteLead((await beforeDeadline(queryLead(lead))) ?? 'silent');
      if (leadState === 'alive') noteUse(await beforeDeadline(queryUse(held)));
      return judge();
    };
    const checkOrReport = (): Promise<MemoryVerdict> =>
      check().catch((err: unknown) => {
        onError(err, 'check of a group');
        return 'unsure';
      });
    // Each lease is renewed on its own. If all were awaited together, a member
    // whose answers are lost would delay the other renewals and the use check.
    const renewLease = async (lease: MemoryLease) => {
      const isKept = await lease.renew();
      if (!isKept) held = held.filter(it => it !== lease);
    };
    const msToRenewal = () => renewedAt + holdMs * RENEW_SHARE - clock.now();
    const renewIfDue = () => {
      if (leadState !== 'alive' || msToRenewal() > 0) return;
      renewedAt = clock.now();
      for (const lease of held) guard('renewal of memory', renewLease)(lease);
    };
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      log(DIRECT_EVENTS.memoryReleased, {
        requestId,
        heldMs: Math.round(clock.now() - reservedAt),
        use,
        unusedMs: Math.round(clock.now() - lastUseAt()),
      });
      for (const lease of reserved) lease.release();
    };
    const lose = (loss: GroupLoss) => {
      const {leadSilent, memoryUnused} = DIRECT_EVENTS;
      const event = loss === 'the memory is unused' ? memoryUnused : leadSilent;
      log(event, {requestId, replica: lead.id, cause: loss});
      close();
      onLost(loss);
    };
    const keepRenewed = async (): Promise<void> => {
      for (let verdict: MemoryVerdict = 'keep'; ;) {
        const pauseMs =
          verdict === 'keep'
            ? Math.max(ASK_AGAIN_MS, msToRenewal())
            : ASK_AGAIN_MS;
        await beforeDeadline(pause(pauseMs));
        if (!isOpen) return;
        verdict = await checkOrReport();
        if (!isOpen) return;
        if (verdict !== 'keep' && verdict !== 'unsure') return lose(verdict);
        renewIfDue();
      }
    };
    guard('group', keepRenewed)();
    return {
      members: reserved.map(({address, id}) => ({address, reservation: id})),
      noteActivity: () => {
        lastActivityAt = clock.now();
      },
      watchLoss: onLoss => {
        onLost = onLoss;
      },
      close,
    };
  };

  const open: Groups['open'] = async req => {
    const {requestId, helpers, tokens} = req;
    const requested = helpers.map(({address}) =>
      leases.create(address, tokens),
    );
    const answers = await Promise.all(
      requested.map((lease, at) =>
        lease.reserve(() => req.mayRepeat?.(helpers[at]) ?? true),
      ),
    );
    const failedIndex = answers.findIndex(answer => answer !== 'done');
    if (failedIndex < 0) return createGroup(req, requested);
    const refusedBy = requested[failedIndex].address;
    const answer = answers[failedIndex];
    log(DIRECT_EVENTS.groupRefused, {requestId, refusedBy, answer});
    for (const lease of requested) lease.release();
    return {refusedBy, isUnreachable: answer === 'unreachable'};
  };

  return {open, reservationCount: leases.count};
}
