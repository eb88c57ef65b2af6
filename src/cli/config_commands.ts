/** Commands for the configuration and its history: `onyxloft config …`. */
import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {parse, printParseErrorCode} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';
import type {NumberedDeclarations} from '../types/config.js';
import type {
  ConfigAccepted,
  ConfigHistoryLine,
  ConfigPatch,
  ConfigRejection,
} from '../types/services.js';
import {
  EXIT_OK,
  OperatorCommand,
  UsageError,
  parseCount,
} from './operator_command.js';
import {renderTable} from './render.js';

const CATEGORY = 'Configuration';
/** Length of a random patch id, in bytes. */
const PATCH_ID_BYTES = 16;

/** `onyxloft config get` */
export class ConfigGetCommand extends OperatorCommand {
  static override paths = [['config', 'get']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the declarations in force',
    details:
      'Prints the newest accepted declarations, with their number in a comment on the first line. With --json the number is a field.',
    examples: [
      ['Keep them in a file', '$0 config get > declarations.jsonc'],
      ['Read the number in a script', '$0 config get --json | jq .number'],
    ],
  });

  protected override async perform(): Promise<number> {
    return this.printOutcome(await this.client().config(), renderDeclarations);
  }
}

/** `onyxloft config show N` */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print the declarations of one number',
    examples: [['Print version 41', '$0 config show 41']],
  });

  number = Option.String({name: 'N'});

  protected override async perform(): Promise<number> {
    const number = parseCount(this.number, 'N');
    return this.printOutcome(
      await this.client().configAt(number),
      renderDeclarations,
    );
  }
}

/** `onyxloft config history` */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'list accepted patches, the newest first',
    examples: [['The last five', '$0 config history --limit 5']],
  });

  limit = Option.String('--limit', '20', {
    description: 'Maximum number of lines to print',
  });

  protected override async perform(): Promise<number> {
    const limit = parseCount(this.limit, '--limit');
    return this.printOutcome(await this.client().history(limit), renderHistory);
  }
}

/** Options and output that `diff` and `apply` share. */
abstract class PatchCommand extends OperatorCommand {
  base = Option.String('--base', {
    required: true,
    description: 'The number that the patch is based on',
  });

  operator = Option.String('--operator', {
    env: 'USER',
    description: 'Name of the operator, for the history',
  });

  file = Option.String({name: 'FILE'});

  /** Sends the file as a patch. With `dryRun` the entry only checks it. */
  protected async sendPatch(patchId: string, dryRun: boolean): Promise<number> {
    const base = parseCount(this.base, '--base');
    const patchFile = readPatchFile(this.file);
    const operator = this.operator ?? '';
    const patch: ConfigPatch = {...patchFile, patchId, base, dryRun, operator};
    const outcome = await this.client().patch(patch);
    return outcome.caseOf({
      Left: rejection => this.printRejection(patch, rejection),
      Right: accepted => this.printAccepted(accepted),
    });
  }

  private printAccepted(accepted: ConfigAccepted): number {
    if (this.json) {
      this.print(JSON.stringify(accepted, null, 2));
      return EXIT_OK;
    }
    const heading = accepted.dryRun
      ? `would be accepted as ${accepted.number}; changes:`
      : `accepted as ${accepted.number}; changed:`;
    const paths = accepted.changedPaths.map(path => `  ${path}`);
    this.print([heading, ...paths].join('\n'));
    return EXIT_OK;
  }

  private printRejection(
    patch: ConfigPatch,
    rejection: ConfigRejection,
  ): number {
    // `head` is the newest accepted number; 0 when the entry did not report it.
    const {error, head, faults} = rejection;
    const exitCode = this.printFailure(error, {
      head,
      faults,
      patchId: patch.patchId,
    });
    for (const fault of faults) {
      this.printError(`${fault.path}: ${fault.message}; ${fault.mend}`);
    }
    if (error.code === 'conflict') {
      this.printError(
        `the patch is based on ${patch.base}, the head is ${head}; look at "config history", then apply it with --base ${head}`,
      );
    }
    if (error.ran === 'unknown' && !patch.dryRun) {
      this.printError(
        `it may have been accepted; repeat it with --patch-id ${patch.patchId}, which never applies it twice`,
      );
    }
    return exitCode;
  }
}

/** `onyxloft config diff --base N FILE` */
export class ConfigDiffCommand extends PatchCommand {
  static override paths = [['config', 'diff']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'show what a patch would change',
    details:
      'Checks the patch as "config apply" would, and changes nothing. A FILE with an array is a JSON Patch, one with an object a merge patch; it may have comments.',
    examples: [['Try a patch', '$0 config diff --base 41 patch.jsonc']],
  });

  protected override perform(): Promise<number> {
    return this.sendPatch(this.randomHex(PATCH_ID_BYTES), true);
  }
}

/** `onyxloft config apply --base N FILE` */
export class ConfigApplyCommand extends PatchCommand {
  static override paths = [['config', 'apply']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'apply a patch against a numbered version',
    details:
      'Exits 1 and changes nothing when the head is not --base, or when the resulting declarations have faults. A FILE with an array is a JSON Patch, one with an object a merge patch; it may have comments. A repeat with the same --patch-id is the same patch and is never applied twice.',
    examples: [
      ['Apply a patch to version 41', '$0 config apply --base 41 patch.jsonc'],
      [
        'Repeat it after a lost answer',
        '$0 config apply --base 41 --patch-id 5f0c patch.jsonc',
      ],
    ],
  });

  patchId = Option.String('--patch-id', {
    description: 'Id of the patch, for repeating it; random by default',
  });

  protected override perform(): Promise<number> {
    return this.sendPatch(
      this.patchId ?? this.randomHex(PATCH_ID_BYTES),
      false,
    );
  }
}

function readPatchFile(file: string): Pick<ConfigPatch, 'form' | 'patch'> {
  const text = readText(file);
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const [firstError] = errors;
  if (firstError !== undefined) {
    const line = text.slice(0, firstError.offset).split('\n').length;
    const problem = printParseErrorCode(firstError.error);
    throw new UsageError(
      `${file}:${line}: is not JSON with comments: ${problem}`,
    );
  }
  if (typeof value !== 'object' || value === null) {
    throw new UsageError(
      `${file}: write an array (JSON Patch) or an object (merge patch)`,
    );
  }
  const form = Array.isArray(value) ? 'json-patch' : 'merge-patch';
  return {form, patch: JSON.stringify(value)};
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(`${file}: cannot be read: ${(err as Error).message}`);
  }
}

function renderDeclarations(config: NumberedDeclarations): string {
  const text = JSON.stringify(config.declarations, null, 2);
  return `// number ${config.number}\n${text}`;
}

function renderHistory(lines: readonly ConfigHistoryLine[]): string {
  return renderTable(
    ['NUMBER', 'PATCH', 'OPERATOR', 'CHANGED'],
    lines.map(line => [
      String(line.number),
      line.patchId,
      line.operator,
      line.changedPaths.join(' '),
    ]),
  );
}
