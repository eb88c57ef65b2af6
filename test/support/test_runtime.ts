/** A runtime on virtual time whose log events are kept, for tests. */
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';

/** Starts a runtime with chance from `seed`. */
export function createTestRuntime(seed = 1): RecordingRuntime {
  return createRecordingRuntime({seed});
}
