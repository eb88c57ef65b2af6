/** An error of the entry itself before a request was sent to a replica. */
export class UnsentError extends Error {}

/** Runs a step before the sending; an error in it becomes an `UnsentError`. */
export function beforeSending<T>(step: () => T): T {
  try {
    return step();
  } catch (err) {
    throw new UnsentError(String(err), {cause: err});
  }
}
