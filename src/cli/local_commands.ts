/** Commands that connect to no process: settings files and keys. */
import {Command, Option} from 'clipanion';
import {existsSync, readFileSync} from 'node:fs';
import {formatFault} from '../config/settings_faults.js';
import type {SettingsFault} from '../config/settings_faults.js';
import {loadSettings} from '../config/settings.js';
import {isDirectSettings, parseDirectSettings} from '../direct/settings.js';
import {SALT_BYTES, generateKey, hashGeneratedKey} from '../utils/keys.js';
import {EXIT_OK, EXIT_USAGE, ToolCommand} from './operator_command.js';

/**
 * Returns the faults of a settings file. The file of a direct entry has other
 * options, so it is checked against the schema of that role.
 */
function checkSettingsFile(file: string): readonly SettingsFault[] {
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  if (!isDirectSettings(text)) return loadSettings(file).swap().orDefault([]);
  return parseDirectSettings(text)
    .swap()
    .map(message => [
      {file, line: 1, option: '', message, mend: 'see docs/settings.md'},
    ])
    .orDefault([]);
}

/** `onyxloft settings check FILE...` */
export class SettingsCheckCommand extends ToolCommand {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'check settings files of processes',
    details:
      'Prints every fault of every file with its line, option and mend. Exits 2 when there is a fault.',
    examples: [
      ['Check one file', '$0 settings check entry.jsonc'],
      ['Read the faults in a script', '$0 settings check --json *.jsonc'],
    ],
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON for scripts',
  });

  files = Option.Rest({name: 'FILE', required: 1});

  protected override async perform(): Promise<number> {
    const checked = this.files.map(file => ({
      file,
      faults: checkSettingsFile(file),
    }));
    const faults = checked.flatMap(each => each.faults);
    if (this.json) {
      this.print(JSON.stringify({faults}, null, 2));
    } else {
      for (const {file, faults: own} of checked) {
        if (own.length === 0) this.print(`${file}: right`);
      }
      for (const fault of faults) this.printError(formatFault(fault));
    }
    return faults.length === 0 ? EXIT_OK : EXIT_USAGE;
  }
}

/** `onyxloft key generate` */
export class KeyGenerateCommand extends ToolCommand {
  static override paths = [['key', 'generate']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'make a key and its salted hash',
    details:
      "Hand the key to its owner and keep only the hash: in an organisation's keyHashes, or as operatorTokenHash in the settings of entries and sides.",
    examples: [['Make a key', '$0 key generate']],
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON for scripts',
  });

  protected override async perform(): Promise<number> {
    const key = generateKey(bytes => this.randomHex(bytes));
    const hash = hashGeneratedKey(key, this.randomHex(SALT_BYTES));
    this.print(
      this.json ? JSON.stringify({key, hash}) : `key:  ${key}\nhash: ${hash}`,
    );
    return EXIT_OK;
  }
}
