/**
 * Recognises requests that repeat another one of the same organisation, route
 * and prompt: one that still runs at this entry, or one that this entry
 * rejected. The digest of a prompt costs an entry with a quarter of a core
 * milliseconds, so it is computed only for requests that agree in all else.
 */
import type {Clock} from '../../types/runtime.js';

/** A request as the comparison sees it. */
export interface RepeatableRequest {
  /** Equal for equal requests, and cheap to compare. */
  readonly outline: string;
  /** Equal for equal requests alone; see `request_digest.ts`. */
  digest(): string;
}

/** What is known of an earlier equal request. */
export type Earlier =
  | {readonly kind: 'none'}
  /** One still runs here. */
  | {readonly kind: 'running'}
  /** One was rejected and told to come back. */
  | {
      readonly kind: 'rejected';
      /** When the first of them arrived. */
      readonly firstAt: number;
      /** When its caller was told to come back. */
      readonly comeBackAt: number;
    };

export interface Repeats {
  /** What is known of a request equal to this one. */
  earlierOf(req: RepeatableRequest): Earlier;
  /** Records that the request runs until the returned function is called. */
  runs(req: RepeatableRequest): () => void;
  /** Records that the request was rejected. */
  rejected(req: RepeatableRequest, firstAt: number, comeBackAt: number): void;
  /** Number of rejected requests that are remembered. */
  rememberedCount(): number;
}

/** Rejected requests that are remembered; the oldest is dropped beyond it. */
const MAX_REMEMBERED = 4_000;
/**
 * Time from the moment at which a rejected caller is to come back until its
 * request is forgotten, in milliseconds. After it, the request counts as new.
 */
const REMEMBERED_MS = 10_000;

interface Rejection {
  readonly outline: string;
  readonly firstAt: number;
  readonly comeBackAt: number;
}

export function createRepeats(clock: Pick<Clock, 'now'>): Repeats {
  const running = new Map<string, Set<RepeatableRequest>>();
  /** By digest, the oldest first. */
  const rejections = new Map<string, Rejection>();
  /** Number of remembered rejections by outline. */
  const outlines = new Map<string, number>();

  const forget = (digest: string, {outline}: Rejection): void => {
    rejections.delete(digest);
    const left = (outlines.get(outline) ?? 1) - 1;
    if (left > 0) outlines.set(outline, left);
    else outlines.delete(outline);
  };
  const dropOld = (): void => {
    for (const [digest, rejection] of rejections) {
      const isOld = clock.now() > rejection.comeBackAt + REMEMBERED_MS;
      if (!isOld && rejections.size <= MAX_REMEMBERED) return;
      forget(digest, rejection);
    }
  };

  return {
    earlierOf: req => {
      dropOld();
      const alike = running.get(req.outline);
      for (const other of alike ?? []) {
        if (other !== req && other.digest() === req.digest()) {
          return {kind: 'running'};
        }
      }
      if (!outlines.has(req.outline)) return {kind: 'none'};
      const rejection = rejections.get(req.digest());
      return rejection === undefined
        ? {kind: 'none'}
        : {kind: 'rejected', ...rejection};
    },
    runs: req => {
      const alike = running.get(req.outline) ?? new Set();
      running.set(req.outline, alike.add(req));
      return () => {
        alike.delete(req);
        // A later request may have begun a new set since this one was empty.
        const isKept = running.get(req.outline) === alike;
        if (alike.size === 0 && isKept) running.delete(req.outline);
      };
    },
    rejected: (req, firstAt, comeBackAt) => {
      const known = rejections.get(req.digest());
      if (known !== undefined) forget(req.digest(), known);
      rejections.set(req.digest(), {outline: req.outline, firstAt, comeBackAt});
      outlines.set(req.outline, (outlines.get(req.outline) ?? 0) + 1);
      dropOld();
    },
    rememberedCount: () => rejections.size,
  };
}
