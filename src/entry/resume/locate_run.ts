/**
 * Finds the side that holds a run, for a caller that resumes at an entry which
 * does not own it: the side it names first, then all sides, few at a time.
 */
import type {Address, OrganisationId, RequestId} from '../../types/ids.js';
import type {LocateRes} from '../../types/peer_messages.js';
import type {Clock} from '../../types/runtime.js';
import type {Transport} from '../../types/transport.js';
import type {RequestTiming} from '../timing.js';

/** Sides asked at once. */
const MAX_PARALLEL_CALLS = 16;

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
  /** Empty when the caller knows none. */
  readonly sideHint: Address;
  readonly allSides: readonly Address[];
}

/**
 * The trace to take up: of the newest attempt that has anything to give;
 * undefined when no side knows the request.
 */
export async function locateRun(
  options: LocateRunOptions,
): Promise<LocatedRun | undefined> {
  // Only known sides are asked: the hint comes from the caller, and must not
  // make this process connect to wherever it says.
  const hinted = options.allSides.includes(options.sideHint)
    ? await locateAtSide(options, options.sideHint)
    : undefined;
  if (hinted !== undefined && mayHaveAnswer(hinted)) return hinted;
  const others = options.allSides.filter(one => one !== options.sideHint);
  return locateAtAll(options, others, hinted);
}

/**
 * Asks all, since an earlier attempt may have left a trace too: its chunks
 * after those of a later one would be an answer that no run gave. Sides that
 * do not answer hold this up for one waiting time at most.
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
      // Read only after the wait: a side that knows nothing and answers last
      // would otherwise undo what another has told in the meantime.
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

/** There is an answer, or will be. */
function mayHaveAnswer(found: LocatedRun): boolean {
  return found.res.state !== 'failed';
}

function preferred(
  a: LocatedRun | undefined,
  b: LocatedRun | undefined,
): LocatedRun | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  if (mayHaveAnswer(a) !== mayHaveAnswer(b)) return mayHaveAnswer(a) ? a : b;
  return attemptNumberOf(b) > attemptNumberOf(a) ? b : a;
}

/** Number of the attempt, from its dispatch id. */
function attemptNumberOf({res}: LocatedRun): number {
  return Number(res.dispatchId.slice(res.dispatchId.lastIndexOf('.') + 1));
}
