/**
 * Labels of what crashes replicas in a soak: a body, or a part of a prompt. They
 * tell replicas when to crash.
 */
import type {Arrival} from '../standins/users_platform/replica.js';

/** What a request holds that crashes the replica which runs it. */
export interface PoisonLabel {
  readonly label: string;
  /** From the arrival until the replica crashes. */
  readonly crashMs: number;
}

const BODY_PATTERN = /^poison-\d+-(\d+)$/;
/** Ids of parts are hexadecimal. */
const PART_PATTERN = /^bad([0-9a-f]{4})([0-9a-f]{2})$/;

export function poisonBody(index: number, crashMs: number): string {
  return `poison-${index}-${Math.round(crashMs)}`;
}

export function poisonPart(index: number, crashMs: number): string {
  const hex = (value: number, digits: number) =>
    Math.round(value).toString(16).padStart(digits, '0');
  return `bad${hex(crashMs, 4)}${hex(index, 2)}`;
}

/** What the request holds; undefined where it crashes nothing. */
export function poisonOf({body, headers}: Arrival): PoisonLabel | undefined {
  const bodyMs = BODY_PATTERN.exec(body)?.[1];
  if (bodyMs !== undefined) return {label: body, crashMs: Number(bodyMs)};
  for (const part of String(headers['x-prompt-prefix']).split(',')) {
    const [label] = part.split(':');
    const partMs = PART_PATTERN.exec(label)?.[1];
    if (partMs !== undefined) return {label, crashMs: parseInt(partMs, 16)};
  }
  return undefined;
}
