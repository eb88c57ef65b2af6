/**
 * Which lines report an error of the process itself, and which of them are of one
 * kind: such an error may come with each step, message or call, for hours.
 */
import type {EventSpec, LogFields} from '../types/runtime.js';
import {DIRECT_EVENTS, KERNEL_EVENTS} from '../utils/events.js';

const LIMITED = new Set<EventSpec>([
  KERNEL_EVENTS.serviceFailed,
  KERNEL_EVENTS.messageFailed,
  KERNEL_EVENTS.errorUnowned,
  DIRECT_EVENTS.callFailed,
  DIRECT_EVENTS.peerMessageDropped,
  DIRECT_EVENTS.stepFailed,
]);
/** Fields that tell where the error arose. */
const PLACE_FIELDS = ['service', 'kind', 'callback', 'to', 'step', 'entry'];
/** Lines of a stack that tell errors without a place apart. */
const STACK_LINES = 3;

/** Key of a kind of errors, for `createErrorLimit`. */
export function limitKeyOf(
  event: EventSpec,
  fields: LogFields,
): string | undefined {
  if (!LIMITED.has(event)) return undefined;
  const place = PLACE_FIELDS.map(name => String(fields[name] ?? '')).join(' ');
  const stack = String(fields['cause']).split('\n', STACK_LINES).join('\n');
  return `${event.name} ${place} ${stack}`;
}
