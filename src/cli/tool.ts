/** The command-line tool: its commands, its parser and its exit code. */
import {Builtins, Cli} from 'clipanion';
import type {Command} from 'clipanion';
import {
  ConfigApplyCommand,
  ConfigDiffCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
} from './config_commands.js';
import {
  DrainCommand,
  ExplainCommand,
  HostsCommand,
  StatusCommand,
} from './fleet_commands.js';
import {KeyGenerateCommand, SettingsCheckCommand} from './local_commands.js';
import {EXIT_OK, EXIT_USAGE} from './operator_command.js';
import type {ToolContext} from './operator_command.js';
import {
  QuarantineListCommand,
  QuarantineReleaseCommand,
  QuarantineShowCommand,
} from './quarantine_commands.js';

/** Commands of the tool, in the order of the help text. */
export const COMMANDS = [
  ConfigGetCommand,
  ConfigShowCommand,
  ConfigHistoryCommand,
  ConfigDiffCommand,
  ConfigApplyCommand,
  StatusCommand,
  HostsCommand,
  ExplainCommand,
  DrainCommand,
  QuarantineListCommand,
  QuarantineShowCommand,
  QuarantineReleaseCommand,
  SettingsCheckCommand,
  KeyGenerateCommand,
] as const;

/** Runs one command line. Resolves to the exit code. */
export async function runTool(
  args: readonly string[],
  context: ToolContext,
): Promise<number> {
  const cli = createTool();
  if (args.length === 0) {
    context.stdout.write(cli.usage());
    return EXIT_OK;
  }
  let command: Command<ToolContext>;
  try {
    command = cli.process([...args], context);
  } catch (err) {
    context.stderr.write(cli.error(err));
    return EXIT_USAGE;
  }
  return cli.run(command, context);
}

/** Creates the parser with all commands, which also prints the help texts. */
export function createTool(): Cli<ToolContext> {
  const cli = new Cli<ToolContext>({
    binaryLabel: 'Onyxloft, the command line for operators',
    binaryName: 'onyxloft',
    binaryVersion: '0.1.0',
    enableColors: false,
  });
  for (const command of COMMANDS) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
}
