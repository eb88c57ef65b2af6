/**
 * Stand-in for the platform's host list, without any IO. Readers see the list
 * as it was `lagMs` ago, and no change at all while it is frozen.
 */
import type {HostInfo} from '../src/types/platform.js';
import type {Clock} from '../src/types/runtime.js';

/** Faults in force; each may be switched while the list runs. */
export interface HostListFaults {
  /** Changes show after this long. @default 0 */
  readonly lagMs: number;
  /** No change shows until this ends. @default false */
  readonly frozen: boolean;
  /** Reads fail. @default false */
  readonly outage: boolean;
}

/** The list as readers see it; the version grows with each change. */
export interface HostListView {
  readonly version: number;
  readonly hosts: readonly HostInfo[];
}

export interface HostListCore {
  /** What a reader sees now; undefined during an outage. */
  read(): HostListView | undefined;
  put(host: HostInfo): void;
  /** Marks a host as leaving; false when it is not listed. */
  leave(host: string): boolean;
  remove(host: string): boolean;
  faults(): HostListFaults;
  setFaults(faults: Partial<HostListFaults>): void;
}

interface DatedView extends HostListView {
  readonly since: number;
}

export function createHostListCore(clock: Clock): HostListCore {
  const hosts = new Map<string, HostInfo>();
  let faults: HostListFaults = {lagMs: 0, frozen: false, outage: false};
  let views: readonly DatedView[] = [{version: 0, hosts: [], since: 0}];
  let shown: HostListView = views[0];

  const record = () => {
    const version = views[views.length - 1].version + 1;
    const view = {version, hosts: [...hosts.values()], since: clock.now()};
    views = [...views, view];
  };

  const refresh = () => {
    if (faults.frozen) return;
    const time = clock.now() - faults.lagMs;
    const due = views.filter(view => view.since <= time);
    if (due.length === 0) return;
    // Views before the newest one that is due will never be read again.
    views = views.slice(due.length - 1);
    if (views[0].version > shown.version) shown = views[0];
  };

  return {
    read: () => {
      refresh();
      if (faults.outage) return undefined;
      return {version: shown.version, hosts: shown.hosts};
    },
    put: host => {
      hosts.set(host.host, host);
      record();
    },
    leave: name => {
      const host = hosts.get(name);
      if (host === undefined) return false;
      hosts.set(name, {...host, state: 'leaving'});
      record();
      return true;
    },
    remove: name => {
      if (!hosts.delete(name)) return false;
      record();
      return true;
    },
    faults: () => faults,
    setFaults: change => {
      // What was due before the change shows, so that a freeze keeps it.
      refresh();
      faults = {...faults, ...change};
    },
  };
}
