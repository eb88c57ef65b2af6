/**
 * Commands that call running processes: status, hosts, explain, drain.
 * `explain` can also read log lines instead.
 */
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {Command, Option} from 'clipanion';
import {
  describeCause,
  linesAboutRequest,
  renderExplanation,
} from './explain_logs.js';
import {
  EXIT_OK,
  EXIT_USAGE,
  OperatorCommand,
  UsageError,
} from './operator_command.js';

const CATEGORY = 'Fleet';

/** `onyxloft status` */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'show what an entry knows: numbers, placer, decisions',
    examples: [['The number in force', '$0 status --json | jq .configNumber']],
  });

  protected override async perform(): Promise<number> {
    return this.printOutcome(await this.client().status());
  }
}

/** `onyxloft hosts` */
export class HostsCommand extends OperatorCommand {
  static override paths = [['hosts']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'list the hosts and their states as an entry sees them',
    examples: [['List the hosts', '$0 hosts']],
  });

  protected override async perform(): Promise<number> {
    return this.printOutcome(await this.client().hosts());
  }
}

/** `onyxloft explain REQUEST` */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show a request's routing decisions and their reasons",
    details:
      'Asks an entry for the decisions. With --logs, reads the log lines of any number of processes instead, and describes the outcome of the request in a sentence.',
    examples: [
      ['Why it ran there', '$0 explain 9f86d081884c7d659a2feaa0c55ad015'],
      ['From logs', '$0 explain 9c41d07be2a35f68 --logs a.log --logs b.log'],
      ['From a pipe', 'cat *.log | $0 explain 9c41d07be2a35f68 --logs -'],
    ],
  });

  logs = Option.Array('--logs', {
    description: 'A file of log lines; - is standard input',
  });

  request = Option.String({name: 'REQUEST'});

  protected override async perform(): Promise<number> {
    if (this.logs !== undefined) return this.explainLogs(this.logs);
    return this.printOutcome(await this.client().explain(this.request));
  }

  private async explainLogs(sources: readonly string[]): Promise<number> {
    const texts = await Promise.all(
      sources.map(source => this.readLog(source)),
    );
    const lines = linesAboutRequest(texts.join('\n'), this.request);
    // What became of the request; `renderExplanation` includes it too.
    const cause = describeCause(lines);
    this.print(
      this.json
        ? JSON.stringify({cause, lines}, null, 2)
        : renderExplanation(lines),
    );
    // That no line is about the request counts as wrong usage.
    return lines.length > 0 ? EXIT_OK : EXIT_USAGE;
  }

  /** Reads a file of log lines, or standard input when the source is `-`. */
  private async readLog(source: string): Promise<string> {
    if (source === '-') return text(this.context.stdin);
    try {
      return await readFile(source, 'utf8');
    } catch {
      throw new UsageError(
        `${source} cannot be read; give a file of log lines`,
      );
    }
  }
}

/** `onyxloft drain NODE-URL` */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'drain one process and stop it',
    details:
      "NODE-URL is the process's own listen.operators address. The process accepts no new work, finishes every request in progress, and exits.",
    examples: [['Drain one process', '$0 drain http://10.1.0.5:7200']],
  });

  nodeUrl = Option.String({name: 'NODE-URL'});

  protected override async perform(): Promise<number> {
    return this.printOutcome(
      await this.client(this.nodeUrl, 'NODE-URL').drain(),
    );
  }
}
