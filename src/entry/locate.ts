/**
 * Finds the side that holds a run, for a caller that resumes at an entry which
 * does not own it: the side it names first, then all sides, few at a time.
 */
import type {Address, OrganisationId, RequestId} from '../types/ids.js';
import type {LocateRes} from '../types/peer_messages.js';
import type {Transport} from '../types/transport.js';
import type {RequestTiming} from './timing.js';

/** Sides asked at once. */
const LOCATE_PARALLEL = 16;

export interface Located {
  readonly side: Address;
  readonly res: LocateRes;
}

export interface LocateOptions {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  /** Empty when the caller knows none. */
  readonly sideHint: Address;
  readonly allSides: readonly Address[];
}

/** How much a state tells; a request may have left traces on several sides. */
const WORTH = {none: 0, failed: 1, ended: 2, queued: 3, running: 4} as const;

/** The most telling trace; undefined when no side knows the request. */
export async function locateRun(
  options: LocateOptions,
): Promise<Located | undefined> {
  // Only known sides are asked: the hint comes from the caller, and must not
  // make this process connect to wherever it says.
  const hinted = options.allSides.includes(options.sideHint)
    ? await askSide(options, options.sideHint)
    : undefined;
  if (hinted !== undefined) return hinted;
  const others = options.allSides.filter(one => one !== options.sideHint);
  return askAll(options, others);
}

async function askAll(
  options: LocateOptions,
  sides: readonly Address[],
): Promise<Located | undefined> {
  const waiting = [...sides];
  let best: Located | undefined;
  const work = async () => {
    for (;;) {
      const side = waiting.shift();
      if (side === undefined || isLive(best)) return;
      const found = await askSide(options, side);
      // Read only after the wait: a side that knows nothing and answers last
      // would otherwise undo what another has told in the meantime.
      best = better(best, found);
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

function isLive(found: Located | undefined): boolean {
  return found?.res.state === 'running' || found?.res.state === 'queued';
}

function better(
  a: Located | undefined,
  b: Located | undefined,
): Located | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return WORTH[b.res.state] > WORTH[a.res.state] ? b : a;
}
