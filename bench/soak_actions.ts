/**
 * What the randomised runs do to a fleet, as plain data: load, and faults of
 * every kind. A schedule is drawn from a seed or by a property test, which can
 * also shrink it. Indices are taken modulo what there is.
 */
import type {Ask} from '../standins/fleet_callers.js';

export type FaultAction =
  | {readonly kind: 'engine-die'; readonly at: number; readonly ms: number}
  | {readonly kind: 'engine-freeze'; readonly at: number; readonly ms: number}
  | {readonly kind: 'engine-silent'; readonly at: number; readonly ms: number}
  /** Open streams go silent; new ones work. */
  | {readonly kind: 'engine-mute'; readonly at: number}
  | {readonly kind: 'engine-cut'; readonly at: number}
  | {
      readonly kind: 'engine-slow';
      readonly at: number;
      readonly ms: number;
      readonly factor: number;
    }
  | {readonly kind: 'service-die'; readonly at: number; readonly ms: number}
  | {readonly kind: 'service-freeze'; readonly at: number; readonly ms: number}
  | {readonly kind: 'service-silent'; readonly at: number; readonly ms: number}
  | {readonly kind: 'service-lose'; readonly at: number; readonly ms: number}
  | {readonly kind: 'service-slow'; readonly at: number; readonly ms: number}
  | {readonly kind: 'side-crash'; readonly at: number; readonly ms: number}
  | {readonly kind: 'side-freeze'; readonly at: number; readonly ms: number}
  | {readonly kind: 'side-drain'; readonly at: number; readonly ms: number}
  | {readonly kind: 'entry-crash'; readonly at: number; readonly ms: number}
  | {readonly kind: 'entry-freeze'; readonly at: number; readonly ms: number}
  | {readonly kind: 'entry-drain'; readonly at: number; readonly ms: number}
  /** The platform lists the host as leaving; the side itself is not told. */
  | {readonly kind: 'host-leave'; readonly at: number; readonly ms: number}
  | {
      readonly kind: 'store-outage';
      readonly ms: number;
      readonly hang: boolean;
    }
  | {readonly kind: 'store-slow'; readonly ms: number; readonly slowMs: number}
  | {readonly kind: 'store-lose'; readonly ms: number; readonly share: number}
  | {readonly kind: 'store-stale'; readonly ms: number}
  | {readonly kind: 'store-cut'; readonly at: number; readonly ms: number}
  | {readonly kind: 'list-lag'; readonly ms: number; readonly lagMs: number}
  | {readonly kind: 'list-frozen'; readonly ms: number}
  | {readonly kind: 'list-outage'; readonly ms: number}
  | {readonly kind: 'weights-outage'; readonly ms: number}
  | {
      readonly kind: 'net-cut';
      readonly at: number;
      readonly with: number;
      readonly ms: number;
    }
  | {
      readonly kind: 'net-silence';
      readonly at: number;
      readonly with: number;
    }
  | {readonly kind: 'net-slow'; readonly ms: number; readonly maxMs: number}
  | {
      readonly kind: 'net-double';
      readonly ms: number;
      readonly share: number;
      readonly laterMs: number;
    }
  | {readonly kind: 'net-drop'; readonly ms: number; readonly share: number}
  | FrameAction;

/** Faults of frames on runs' channels, by relays that are not to be trusted. */
export type FrameAction =
  | {
      readonly kind: 'frame-double' | 'frame-late' | 'go-copy';
      readonly ms: number;
      readonly share: number;
      readonly laterMs: number;
    }
  | {
      readonly kind: 'frame-drop' | 'frame-change';
      readonly ms: number;
      readonly share: number;
    };

export type LoadAction =
  | {readonly kind: 'ask'; readonly entry: number; readonly ask: Ask}
  /** An earlier submission with a key, once more, at whichever entry. */
  | {
      readonly kind: 'repeat-key';
      readonly entry: number;
      readonly back: number;
    }
  | {readonly kind: 'cancel'; readonly back: number}
  /** A caller whose entry crashed takes its answer up elsewhere. */
  | {
      readonly kind: 'resume';
      readonly entry: number;
      readonly back: number;
      readonly fromStart: boolean;
    }
  /** Based on the number in force; `racing` sends another at once. */
  | {
      readonly kind: 'patch';
      readonly entry: number;
      readonly weight: number;
      readonly racing: boolean;
    };

export type Action = FaultAction | LoadAction;

/** One step of a schedule: an action, then a pause. */
export interface Step {
  readonly action: Action;
  readonly pauseMs: number;
}
