/**
 * Commands for the quarantine of requests, and parts of prompts, that crash
 * replicas. They read and remove its records in the platform's store.
 */
import {Command, Option} from 'clipanion';
import type {QuarantineRecord} from '../direct/crashes/crash_reports.js';
import {splitAddress} from '../direct/settings.js';
import type {StoreFault} from '../direct/followed/collection.js';
import {
  EXIT_FAILED,
  EXIT_OK,
  ToolCommand,
  UsageError,
} from './operator_command.js';
import type {QuarantineStore} from './operator_command.js';
import {renderTable} from './render.js';

const CATEGORY = 'Quarantine';
/** A digest or a prefix of it, such as logs show. */
const ID_PATTERN = /^[0-9a-f]{4,32}$/;

const IS_PARTIAL =
  "some of the store's records could not be read, so there may be more";

/** The records that could be read, sorted by digest. */
interface ReadRecords {
  readonly records: readonly QuarantineRecord[];
  /** There may be further records. */
  readonly isPartial: boolean;
}

/** A quarantine record as printed with `--json`. */
interface QuarantineJson extends Omit<QuarantineRecord, 'writtenAt'> {
  /** Time at which the record was written, in ISO 8601. */
  readonly since: string;
}

function toQuarantineJson({
  writtenAt,
  ...report
}: QuarantineRecord): QuarantineJson {
  return {...report, since: new Date(writtenAt).toISOString()};
}

/** Options and store access that the quarantine commands share. */
abstract class QuarantineCommand extends ToolCommand {
  store = Option.String('--store', {
    env: 'ONYXLOFT_STORE',
    description: "The platform's metadata store, IP:PORT",
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON for scripts',
  });

  protected openStore(): QuarantineStore {
    if (this.store === undefined || splitAddress(this.store) === undefined) {
      throw new UsageError(
        'give --store or ONYXLOFT_STORE, such as 10.0.0.9:8223',
      );
    }
    return this.context.openStore(this.store);
  }

  /**
   * Reads all records. Prints the error and returns undefined when the store
   * failed.
   */
  protected async readAll(
    store: QuarantineStore,
  ): Promise<ReadRecords | undefined> {
    const listed = await store.quarantine.list();
    return listed
      .ifLeft(fault => this.printFailure(fault))
      .map(({items, isPartial}) => ({
        records: [...items.values()].sort(byDigest),
        isPartial,
      }))
      .toMaybe()
      .extract();
  }

  /**
   * Returns the only record whose digest starts with `id`. Prints an error and
   * returns undefined when there is none or more than one, or when there may be
   * another one that could not be read.
   */
  protected findByPrefix(
    {records, isPartial}: ReadRecords,
    id: string,
  ): QuarantineRecord | undefined {
    const found = records.filter(({digest}) => digest.startsWith(id));
    if (isPartial && found.length <= 1 && found[0]?.digest !== id) {
      this.printError(`${IS_PARTIAL}; give a whole digest`);
      return undefined;
    }
    if (found.length === 1) return found[0];
    this.printError(
      found.length === 0
        ? `no request "${id}" is quarantined; see quarantine list`
        : `"${id}" is a prefix of ${found.length} digests; give a longer one`,
    );
    return undefined;
  }

  protected printJson(value: unknown): void {
    this.print(JSON.stringify(value, null, 2));
  }

  protected printFailure({step, message}: StoreFault): void {
    if (this.json) this.printJson({error: {step, message, peer: this.store}});
    this.printError(`${message} (at ${step}, ${this.store})`);
  }

  protected validateId(id: string): string {
    if (!ID_PATTERN.test(id)) {
      throw new UsageError(`ID is not a prefix of a digest: "${id}"`);
    }
    return id;
  }
}

/** `onyxloft quarantine list` */
export class QuarantineListCommand extends QuarantineCommand {
  static override paths = [['quarantine', 'list']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description:
      'list the requests that are refused because they crash replicas',
    details:
      'Reads the records in the store, which name a request by its digest. Log lines `direct-quarantined` and `direct-quarantine-refused` show the beginning of the digest.',
    examples: [
      ['What is refused now', '$0 quarantine list'],
      ['How many', '$0 quarantine list --json | jq length'],
    ],
  });

  protected override async perform(): Promise<number> {
    const found = await this.readAll(this.openStore());
    if (found === undefined) return EXIT_FAILED;
    const {records, isPartial} = found;
    if (isPartial) this.printError(IS_PARTIAL);
    const code = isPartial ? EXIT_FAILED : EXIT_OK;
    if (this.json) {
      this.printJson(records.map(toQuarantineJson));
      return code;
    }
    const rows = records
      .map(toQuarantineJson)
      .map(({digest, ended, since}) => [digest, String(ended.length), since]);
    this.print(renderTable(['DIGEST', 'REPLICAS ENDED', 'SINCE'], rows));
    return code;
  }
}

/** `onyxloft quarantine show ID` */
export class QuarantineShowCommand extends QuarantineCommand {
  static override paths = [['quarantine', 'show']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'show the replicas that ended under one request',
    details: 'ID is the digest, or a prefix of it that no other digest has.',
    examples: [['From a log line', '$0 quarantine show 3f9c41d07be2']],
  });

  id = Option.String({name: 'ID'});

  protected override async perform(): Promise<number> {
    const id = this.validateId(this.id);
    const records = await this.readAll(this.openStore());
    const record = records && this.findByPrefix(records, id);
    if (record === undefined) return EXIT_FAILED;
    const {digest, position, ended, good, since} = toQuarantineJson(record);
    if (this.json) {
      this.printJson({digest, position, ended, good, since});
      return EXIT_OK;
    }
    this.print(`digest: ${digest}\nsince:  ${since}`);
    if (position !== undefined) {
      this.print(`part:   ${position} of the prompts, counted from 0`);
    }
    const rows = [
      ...ended.map(replica => ['ended', replica]),
      ...Object.entries(good).map(([entry, count]) => [
        'ended well',
        `${count} runs at ${entry}`,
      ]),
    ];
    this.print(renderTable(['RUN', 'AT'], rows));
    return EXIT_OK;
  }
}

/** `onyxloft quarantine release ID` */
export class QuarantineReleaseCommand extends QuarantineCommand {
  static override paths = [['quarantine', 'release']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'allow one quarantined request again, at all entries',
    details:
      'Use it when the cause of the crashes is fixed. ID is as for show. A request that still crashes replicas is refused again after the third crash.',
    examples: [['Release one', '$0 quarantine release 3f9c41d07be2']],
  });

  id = Option.String({name: 'ID'});

  protected override async perform(): Promise<number> {
    const id = this.validateId(this.id);
    const store = this.openStore();
    const records = await this.readAll(store);
    const record = records && this.findByPrefix(records, id);
    if (record === undefined) return EXIT_FAILED;
    const {digest} = record;
    const removed = await store.removeQuarantine(digest);
    return removed.caseOf({
      Left: fault => {
        this.printFailure(fault);
        return EXIT_FAILED;
      },
      Right: () => {
        if (this.json) this.printJson({released: digest});
        else this.print(`released ${digest}`);
        return EXIT_OK;
      },
    });
  }
}

function byDigest(a: QuarantineRecord, b: QuarantineRecord): number {
  return a.digest < b.digest ? -1 : 1;
}
