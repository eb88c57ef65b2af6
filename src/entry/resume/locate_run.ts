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
const LOCATE_PARALLEL = 16;

export interface Located {
  readonly side: Address;
  readonly res: LocateRes;
}

export interface LocateOptions {
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
  options: LocateOptions,
): Promise<Located | undefined> {
  // Only known sides are asked: the hint comes from the caller, and must not
  // make this process connect to wherever it says.
  const hinted = options.allSides.includes(options.sideHint)
    ? await askSide(options, options.sideHint)
    : undefined;
  if (hinted !== undefined && isOfUse(hinted)) return hinted;
  const others = options.allSides.filter(one => one !== options.sideHint);
  return askAll(options, others, hinted);
}

/**
 * Asks all, since an earlier attempt may have left a trace too: its chunks
 * after those of a later one would be an answer that no run gave. Sides that
 * do not answer hold this up for one waiting time at most.
 */
async function askAll(
  options: LocateOptions,
  sides: readonly Address[],
  hinted: Located | undefined,
): Promise<Located | undefined> {
  const {clock, timing} = options;
  const waiting = [...sides];
  let best = hinted;
  let until = Infinity;
  const work = async () => {
    for (;;) {
      const side = waiting.shift();
      if (side === undefined || clock.now() > until) return;
      const found = await askSide(options, side);
      // Read only after the wait: a side that knows nothing and answers last
      // would otherwise undo what another has told in the meantime.
      best = better(best, found);
      if (best !== undefined && isOfUse(best)) {
        until = Math.min(until, clock.now() + timing.locateTimeoutMs);
      }
    }
  };
  const workers = Math.min(LOCATE_PARALLEL, waiting.length);
  await Promise.all(Array.from({length: workers}, work));
  return best;
}

async function askSide(
  options: LocateOptions,
  side: Address,
): Promise<Located | undefined> {
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
function isOfUse(found: Located): boolean {
  return found.res.state !== 'failed';
}

function better(
  a: Located | undefined,
  b: Located | undefined,
): Located | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  if (isOfUse(a) !== isOfUse(b)) return isOfUse(a) ? a : b;
  return attemptOf(b) > attemptOf(a) ? b : a;
}

/** Number of the attempt, from its dispatch id. */
function attemptOf({res}: Located): number {
  return Number(res.dispatchId.slice(res.dispatchId.lastIndexOf('.') + 1));
}
