/**
 * Faults of frames on runs' channels. The grpc stream is reliable and ordered,
 * so these stand for what may lie between its two ends: relays that repeat,
 * hold back, lose or damage what passes through them, and such as send a whole
 * dispatch once more, long after, on a connection of their own.
 */
import type {DispatchId} from '../src/types/ids.js';
import type {OfferReq, RunDown, RunUp} from '../src/types/peer_messages.js';
import type {Clock, Random} from '../src/types/runtime.js';
import type {DelayRange} from './memory_links.js';

/** Shares are of frames, but for `copied`. */
export interface FrameFaults {
  /** Arrives once more, later. */
  readonly doubled: number;
  /** Arrives after frames that were sent later. */
  readonly late: number;
  readonly dropped: number;
  /** Of chunks: one byte of the data is another. */
  readonly changed: number;
  /** How much later doubled and late frames arrive. */
  readonly laterMs: DelayRange;
  /** Share of goes that come once more on a new channel, prompt and all. */
  readonly copied: number;
  readonly copyLaterMs: DelayRange;
}

export const NO_FRAME_FAULTS: FrameFaults = {
  doubled: 0,
  late: 0,
  dropped: 0,
  changed: 0,
  laterMs: {minMs: 0, maxMs: 0},
  copied: 0,
  copyLaterMs: {minMs: 0, maxMs: 0},
};

/** Share of copied goes that a copy of the offer comes before. */
const WITH_OFFER = 0.7;
/** Offers remembered for copies; more than are open at once. */
const KEEP_OFFERS = 1_000;

/** What becomes of one frame. */
export interface Fate<T> {
  readonly frame: T;
  readonly isDropped: boolean;
  /** 0 when it keeps its place. */
  readonly lateMs: number;
  /** When a second copy comes; undefined without. */
  readonly againMs: number | undefined;
}

/** A dispatch as the relay saw it pass. */
export interface CopiedRun {
  /** Undefined when the offer is not repeated. */
  readonly offer: OfferReq | undefined;
  /** Go and prompt; grows until the copy is sent. */
  readonly frames: RunUp[];
}

export interface FrameRelay {
  set(faults: Partial<FrameFaults>): void;
  fateOf<T extends RunUp | RunDown>(frame: T): Fate<T>;
  noteOffer(offer: OfferReq): void;
  /** The copy that this go begins, if chance has it. */
  copyOf(go: RunUp): CopiedRun | undefined;
  /** Sends the copy later, unless `endCopies` comes before. */
  sendLater(send: () => void): void;
  /** Copies not sent yet never are. */
  endCopies(): void;
  /** Dispatches with a changed chunk. */
  readonly changed: ReadonlySet<DispatchId>;
}

export function createFrameRelay(clock: Clock, random: Random): FrameRelay {
  const changed = new Set<DispatchId>();
  const offers = new Map<DispatchId, OfferReq>();
  let faults = NO_FRAME_FAULTS;
  let generation = 0;

  // Nothing is drawn for a fault that is off: runs without it stay as they are.
  const happens = (share: number) => share > 0 && random.next() < share;

  const pick = ({minMs, maxMs}: DelayRange) =>
    minMs + (maxMs - minMs) * random.next();

  const changeOf = <T extends RunUp | RunDown>(frame: T): T => {
    if (frame.kind !== 'chunk' || frame.data.length === 0) return frame;
    if (!happens(faults.changed)) return frame;
    changed.add(frame.dispatchId);
    const data = Uint8Array.from(frame.data);
    const at = Math.floor(random.next() * data.length);
    data[at] = (data[at] ?? 0) ^ 1;
    return {...frame, data};
  };

  return {
    changed,
    set: next => {
      faults = {...faults, ...next};
    },
    endCopies: () => {
      generation++;
      offers.clear();
    },
    fateOf: frame => ({
      frame: changeOf(frame),
      isDropped: happens(faults.dropped),
      lateMs: happens(faults.late) ? pick(faults.laterMs) : 0,
      againMs: happens(faults.doubled) ? pick(faults.laterMs) : undefined,
    }),
    noteOffer: offer => {
      if (faults.copied === 0) return;
      offers.set(offer.dispatchId, offer);
      const [oldest] = offers.keys();
      if (offers.size > KEEP_OFFERS && oldest !== undefined) {
        offers.delete(oldest);
      }
    },
    copyOf: go => {
      if (go.kind !== 'go' || !happens(faults.copied)) return undefined;
      const isWithOffer = happens(WITH_OFFER);
      const offer = isWithOffer ? offers.get(go.dispatchId) : undefined;
      return {offer, frames: []};
    },
    sendLater: send => {
      const begun = generation;
      clock.after(pick(faults.copyLaterMs), () => {
        if (begun === generation) send();
      });
    },
  };
}
