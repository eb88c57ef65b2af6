/**
 * Finds the side that has a run, for a caller that resumes at an entry which
 * does not own it. The side that the caller names is asked first, then all
 * sides, a limited number at a time.
 */
import type {Address, OrganisationId, RequestId} from '../../types/ids.js';
import type {LocateRes} from '../../types/peer_messages.js';
import type {Clock} from '../../types/runtime.js';
import type {Transport} from '../../types/transport.js';
import type {RequestTiming} from '../timing.js';

/** Maximum number of sides asked at the same time. */
const MAX_PARALLEL_CALLS = 16;

/** A run, and the side that has it. */
export interface LocatedRun {
  readonly side: Address;
  readonly res: LocateRes;
}

export interface LocateRunOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly timing: RequestTiming;
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  /** Side named by the caller; empty when the caller names none. */
  readonly sideHint: Address;
  readonly allSides: readonly Address[];
}

/**
 * Returns the run to resume: that of the newest attempt that has an answer or
 * may get one, else the newest failed one. Undefined when no side knows the
 * request.
 */
export async function locateRun(
  options: LocateRunOptions,
): Promise<LocatedRun | undefined> {
  // The hint comes from the caller. Only known sides are asked, so that a
  // caller cannot make this process connect to an arbitrary address.
  const hinted = options.allSides.includes(options.sideHint)
    ? await locateAtSide(options, options.sideHint)
    : undefined;
  if (hinted !== undefined && mayHaveAnswer(hinted)) return hinted;
  const others = options.allSides.filter(one => one !== options.sideHint);
  return locateAtAll(options, others, hinted);
}

/**
 * Asks all sides, because an earlier attempt may also be found. Chunks of an
 * earlier attempt joined to those of a later one would form an answer that no
 * run produced. Once a run is found, sides that do not answer delay the result
 * by at most one timeout.
 */
async function locateAtAll(
  options: LocateRunOptions,
  sides: readonly Address[],
  hinted: LocatedRun | undefined,
): Promise<LocatedRun | undefined> {
  const {clock, timing} = options;
  const remaining = [...sides];
  let best = hinted;
  let stopAskingAt = Infinity;
  const worker = async () => {
    for (;;) {
      const side = remaining.shift();
      if (side === undefined || clock.now() > stopAskingAt) return;
      const found = await locateAtSide(options, side);
      // `best` is read only after the call. Otherwise a side that knows nothing
      // and answers last would overwrite what another side reported in the
      // meantime.
      best = preferred(best, found);
      if (best !== undefined && mayHaveAnswer(best)) {
        stopAskingAt = Math.min(
          stopAskingAt,
          clock.now() + timing.locateTimeoutMs,
        );
      }
    }
  };
  const workerCount = Math.min(MAX_PARALLEL_CALLS, remaining.length);
  await Promise.all(Array.from({length: workerCount}, worker));
  return best;
}

/**
 * Asks one side; undefined when it does not answer or does not know the
 * request.
 */
async function locateAtSide(
  options: LocateRunOptions,
  side: Address,
): Promise<LocatedRun | undefined> {
  const res = await options.transport.call(
    side,
    'locate',
    {requestId: options.id, organisation: options.organisation},
    options.timing.locateTimeoutMs,
  );
  return res
    .toMaybe()
    .filter(answer => answer.state !== 'none')
    .map(answer => ({side, res: answer}))
    .extract();
}

/** True when the run has an answer or may still get one. */
function mayHaveAnswer(found: LocatedRun): boolean {
  return found.res.state !== 'failed';
}

/** Prefers a run that may have an answer, then the one of the newer attempt. */
function preferred(
  a: LocatedRun | undefined,
  b: LocatedRun | undefined,
): LocatedRun | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  if (mayHaveAnswer(a) !== mayHaveAnswer(b)) return mayHaveAnswer(a) ? a : b;
  return attemptNumberOf(b) > attemptNumberOf(a) ? b : a;
}

/** Attempt number, taken from the end of the dispatch id. */
function attemptNumberOf({res}: LocatedRun): number {
  return Number(res.dispatchId.slice(res.dispatchId.lastIndexOf('.') + 1));
}
