/**
 * Decides what a final status of an HTTP answer is (RFC 9110, section 15), for
 * the answers of replicas, upstreams, peers, the store and operators' servers.
 * Senders can write any three digits. Those from 100 to 199 announce a final
 * answer or another protocol, which nobody here asks for, and the others mean
 * nothing. What comes with them is not an answer to the request.
 */

const MIN_FINAL_STATUS = 200;
const MIN_FAILURE_STATUS = 300;
const MAX_FINAL_STATUS = 599;

/** Reason of a failure by an answer without one. */
export const NO_FINAL_STATUS = 'no final status';

/** Whether an answer with the status ends its exchange. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** Whether it is a success (2xx). */
export function isSuccess(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status < MIN_FAILURE_STATUS;
}
