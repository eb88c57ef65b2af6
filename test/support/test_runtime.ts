/** A test runtime with a virtual clock that records log events. */
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';

/** Creates a runtime whose random source is seeded with `seed`. */
export function createTestRuntime(seed = 1): RecordingRuntime {
  return createRecordingRuntime({seed});
}
