/** What is configured and stated of replicas that have just started. */

/** How a service's replicas are after a start. */
export interface ColdStart {
  /** How long a replica is cold after a start during traffic, in ms. */
  readonly durationMs: number;
  /** Requests a second that a cold replica takes from all entries together. */
  readonly perSecond: number;
}

/** How much longer a replica stays cold; 0 ms when it is warm. */
export type StatedCold =
  | {readonly kind: 'none'}
  | {readonly kind: 'cold'; readonly leftMs: number}
  | {readonly kind: 'unreadable'; readonly text: string};
