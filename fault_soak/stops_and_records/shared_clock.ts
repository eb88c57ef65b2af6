/** A steady clock whose origin is the same in all processes of a machine. */
export function sharedMsNow(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
