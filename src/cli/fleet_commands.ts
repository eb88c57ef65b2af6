/** Commands on the running processes: status, hosts, explain, drain. */
import {Command, Option} from 'clipanion';
import {OperatorCommand} from './operator_command.js';

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
    return this.finish(await this.client().status());
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
    return this.finish(await this.client().hosts());
  }
}

/** `onyxloft explain REQUEST` */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show a request's routing decisions and their reasons",
    examples: [
      ['Why it ran there', '$0 explain 9f86d081884c7d659a2feaa0c55ad015'],
    ],
  });

  request = Option.String({name: 'REQUEST'});

  protected override async perform(): Promise<number> {
    return this.finish(await this.client().explain(this.request));
  }
}

/** `onyxloft drain NODE-URL` */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'let one process end its work and stop',
    details:
      "NODE-URL is the process's own listen.operators address. It takes no new work, ends every request in progress, and exits.",
    examples: [['Drain one process', '$0 drain http://10.1.0.5:7200']],
  });

  nodeUrl = Option.String({name: 'NODE-URL'});

  protected override async perform(): Promise<number> {
    return this.finish(await this.client(this.nodeUrl, 'NODE-URL').drain());
  }
}
