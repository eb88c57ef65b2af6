/** How late short requests come while million-token prompts stream. */
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import {askOne, completed, percentile, steadyLoad} from './slopes_load.js';
import type {Load} from './slopes_load.js';
import type {WithFleet} from './slopes_members.js';
import {createRecorder} from './slopes_record.js';

const SHORT: Load = {
  perSec: 20,
  seconds: 15,
  promptTokens: 1_000,
  maxTokens: 4,
};
const LONG = {promptTokens: 990_000, maxTokens: 4};

/** Long prompts one after the other in so many places, until told to stop. */
export function sweepShortBesideLong(withFleet: WithFleet) {
  const recorder = createRecorder(
    'mixed',
    'million-token prompts streaming at once',
    '2 entries and 4 sides; 20 short requests a second for 15 s',
  );
  const shape = {
    ...DEMO_SHAPE,
    entries: 2,
    engines: 4,
    services: 0,
    engineMemoryTokens: 6_000_000,
    engineSpeed: 32,
  };
  return withFleet(shape, async fleet => {
    await steadyLoad(fleet, {...SHORT, seconds: 8});
    for (const places of [0, 1, 2]) {
      let stopped = false;
      let sent = 0;
      const place = async () => {
        while (!stopped) {
          sent += 1;
          await askOne(fleet, LONG);
        }
      };
      const long = Promise.all(Array.from({length: places}, place));
      const short = await steadyLoad(fleet, SHORT);
      stopped = true;
      await long;
      const first = short
        .map(one => one.firstTokenMs)
        .filter(ms => !Number.isNaN(ms));
      const put = (figure: string, unit: string, y: number) =>
        recorder.note('entry', figure, unit, [places, y]);
      put('first token of short, p50', 'ms', percentile(first, 50));
      put('first token of short, p99', 'ms', percentile(first, 99));
      put('short answered whole', 'share', completed(short));
      put('long prompts sent', '1', sent);
    }
    return recorder.sweep();
  });
}
