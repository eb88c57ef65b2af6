/** Runs and their answers, for tests of engines and their clients. */
import type {Stream} from 'most';
import type {EngineEvent, EngineRunReq} from '../../src/types/upstream.js';

/** A request of one run with plain values, changed by `parts`. */
export function runReq(
  runId: string,
  parts: Partial<EngineRunReq> = {},
): EngineRunReq {
  const promptTokens = parts.promptTokens ?? 1000;
  const maxTokens = parts.maxTokens ?? 20;
  return {
    runId,
    model: 'm',
    adapter: '',
    priority: 1,
    promptTokens,
    maxTokens,
    memoryTokens: promptTokens + maxTokens,
    groupSize: 1,
    holdOnly: false,
    prefixHashes: [],
    ...parts,
  };
}

/** A prompt in one piece. */
export async function* promptOf(text: string): AsyncIterable<Uint8Array> {
  yield Buffer.from(text);
}

/** What came out of a stream, filled as it comes. */
export interface Collected {
  text: string;
  tokens: number;
  firstTokenAt: number;
  readonly kinds: string[];
  readonly events: EngineEvent[];
  err: Error | undefined;
  ended: boolean;
}

/** Observes a stream and keeps what it brings. */
export function collect(
  stream: Stream<EngineEvent>,
  now: () => number = () => 0,
): Collected {
  const collected: Collected = {
    text: '',
    tokens: 0,
    firstTokenAt: -1,
    kinds: [],
    events: [],
    err: undefined,
    ended: false,
  };
  const observe = (event: EngineEvent) => {
    collected.events.push(event);
    collected.kinds.push(event.kind);
    if (event.kind !== 'tokens') return;
    if (collected.tokens === 0) collected.firstTokenAt = now();
    collected.tokens += event.count;
    collected.text += Buffer.from(event.data).toString();
  };
  stream.observe(observe).then(
    () => {
      collected.ended = true;
    },
    err => {
      collected.err = err;
    },
  );
  return collected;
}
