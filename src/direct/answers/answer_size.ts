/** Bounds the answer to a call, which has no parts that show its progress. */
import type {AnswerHead} from '../dispatch.js';

/** Largest answer to a call, in bytes; beyond it a replica counts as failed. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/**
 * Most pieces in which the body of a call's answer may come. So many take about a
 * second of the processor.
 */
export const MAX_ANSWER_PIECES = 512 * 1024;
/** Most pieces of a body that is a failure of a stream, which is a short text. */
export const MAX_FAILURE_PIECES = 64 * 1024;

/** Whether the head announces a larger answer. One to HEAD has no body. */
export function announcesTooMuch(
  method: string | undefined,
  {headers}: AnswerHead,
): boolean {
  return (
    method !== 'HEAD' && Number(headers['content-length']) > MAX_ANSWER_BYTES
  );
}
