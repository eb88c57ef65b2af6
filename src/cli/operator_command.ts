/**
 * Base classes of the commands. They define the options for the entry's URL,
 * the token and JSON output, the exit codes, and the output of results and
 * errors.
 */
import {Command, Option} from 'clipanion';
import type {BaseContext} from 'clipanion';
import type {Either} from 'purify-ts';
import {createProcessRandom} from '../utils/clock.js';
import type {DirectStore} from '../direct/types.js';
import type {OnyxError} from '../types/errors.js';
import {createOperatorClient} from './operator_client.js';
import type {OperatorClient} from './operator_client.js';
import {renderValue} from './render.js';

/** Success. Scripts may rely on this exit code and the two others. */
export const EXIT_OK = 0;
/** The operation failed, or the patch was rejected. */
export const EXIT_FAILED = 1;
/**
 * Wrong usage, a settings file with faults, a patch file that cannot be read or
 * parsed, or logs without a line about the request to explain.
 */
export const EXIT_USAGE = 2;

/** Wrong usage that is found after the options were parsed. */
export class UsageError extends Error {}

/** The part of the platform's store that the commands use. */
export type QuarantineStore = Pick<
  DirectStore,
  'quarantine' | 'removeQuarantine'
>;

/** Context of the commands, with access to the platform. */
export interface ToolContext extends BaseContext {
  /** Opens the platform's metadata store at `address`, which is IP:PORT. */
  openStore(address: string): QuarantineStore;
}

/** A command that returns one of the exit codes. */
export abstract class ToolCommand extends Command<ToolContext> {
  async execute(): Promise<number> {
    try {
      return await this.perform();
    } catch (err) {
      if (!(err instanceof UsageError)) throw err;
      this.printError(err.message);
      return EXIT_USAGE;
    }
  }

  protected abstract perform(): Promise<number>;

  protected print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  protected printError(text: string): void {
    this.context.stderr.write(`onyxloft: ${text}\n`);
  }

  protected randomHex(bytes: number): string {
    return createProcessRandom().hex(bytes);
  }
}

/** A command that calls the operators' API. */
export abstract class OperatorCommand extends ToolCommand {
  url = Option.String('--url', {
    env: 'ONYXLOFT_URL',
    description:
      "URL of an entry's operators' API, such as http://10.0.0.5:7200",
  });

  token = Option.String('--token', {
    env: 'ONYXLOFT_TOKEN',
    description:
      "The operators' token; ps does not show it if it is in the environment",
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON for scripts',
  });

  /**
   * Creates a client for `url`, by default `--url`. The error about a missing
   * or wrong URL says by `urlSource` where to give it.
   */
  protected client(
    url: string | undefined = this.url,
    urlSource = '--url or ONYXLOFT_URL',
  ): OperatorClient {
    if (url === undefined || !/^https?:/.test(url) || !URL.canParse(url)) {
      throw new UsageError(
        `give ${urlSource}, an http(s) URL such as http://10.0.0.5:7200`,
      );
    }
    if (this.token === undefined || this.token === '') {
      throw new UsageError('give --token or ONYXLOFT_TOKEN');
    }
    return createOperatorClient({url, token: this.token});
  }

  /** Prints the outcome, with `--json` as JSON and otherwise with `render`. */
  protected printOutcome<T>(
    outcome: Either<OnyxError, T>,
    render: (value: T) => string = renderValue,
  ): number {
    return outcome.caseOf({
      Left: err => this.printFailure(err),
      Right: value => {
        this.print(this.json ? JSON.stringify(value, null, 2) : render(value));
        return EXIT_OK;
      },
    });
  }

  /**
   * Prints the error as text to standard error, and with `--json` also as JSON
   * to standard output. Only the JSON includes `extra`.
   */
  protected printFailure(err: OnyxError, extra: object = {}): number {
    if (this.json)
      this.print(JSON.stringify({error: toErrorJson(err), ...extra}));
    this.printError(`${err.message} (${err.code} at ${err.step}, ${err.peer})`);
    return EXIT_FAILED;
  }
}

/** Parses a whole number of at most 15 digits from an argument or option. */
export function parseCount(text: string, name: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(`${name} is not a whole number: "${text}"`);
  }
  return Number(text);
}

function toErrorJson(err: OnyxError) {
  const {code, step, peer, message, requestId, ran} = err;
  return {code, step, peer, message, requestId, ran};
}
