/**
 * After the quiet time the whole capacity must be back: every entry gets short
 * work done, and a prompt that needs several engines runs.
 */
import type {Ask} from '../standins/fleet_callers.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {Breach, Judge} from './soak_judge.js';

const SHORT: Ask = {
  kind: 'completion',
  organisation: 'prairie-sky',
  promptTokens: 500,
  maxTokens: 10,
  timeLimitMs: 10_000,
  repeatable: true,
  priority: 1,
};
const CALL: Ask = {...SHORT, kind: 'call', promptTokens: 0, maxTokens: 0};
const PROBE_MS = 10_000;
const LONG_MS = 60_000;
/** Share of all engines' memory that the long prompt asks for. */
const LONG_SHARE = 0.7;

export async function probeCapacity(
  fleet: MemoryFleet,
  judge: Judge,
  engineMemoryTokens: number,
): Promise<Breach | undefined> {
  const asked = fleet.entries.flatMap((_, at) =>
    [SHORT, CALL, {...SHORT, organisation: 'ingufu-hamwe'}].map(ask =>
      fleet.submit(at, ask),
    ),
  );
  await fleet.clock.runFor(PROBE_MS);
  const share = LONG_SHARE * fleet.engines.length;
  const long = fleet.submit(0, {
    ...SHORT,
    promptTokens: Math.round(engineMemoryTokens * Math.min(2, share)),
    timeLimitMs: LONG_MS,
  });
  await fleet.clock.runFor(LONG_MS);
  for (const one of [...asked, long]) {
    judge.noteAsked(one);
    const final = one.events.at(-1);
    if (final?.kind === 'end') continue;
    const why =
      final?.kind === 'failed'
        ? `${final.error.code}: ${final.error.message}`
        : 'nothing was told';
    const {kind, promptTokens} = one.ask;
    const message = `${one.entry}: ${kind} of ${promptTokens} tokens, ${why}`;
    return {invariant: 'e capacity is back', message, request: one.id};
  }
  return judge.check();
}
