/** The stack of an error; its first lines name the fault. */
export function causeOf(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err);
}
