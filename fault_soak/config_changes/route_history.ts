/**
 * The routes of a configuration that changes in series, and which of them a
 * request may be handled by: for a while after a change, both the older and the
 * newer version allow their own.
 */
import type {Random} from '../../src/types/runtime.js';

/** A version is in force everywhere this long after its acknowledgement. */
export const CONFIG_APPLY_MS = 2_000;

/** Routes of one change; a few of them are asked for. */
const LARGEST_CHANGE = 350;
/** Share of changes that are small. */
const SMALL_SHARE = 0.3;
const LARGEST_SMALL_CHANGE = 3;
/** Routes that were added this many changes ago are dropped. */
const KEPT_CHANGES = 2;
/** Share of changes that bring dropped routes back. */
const BRING_BACK_SHARE = 0.3;
/** Groups of this many last changes are asked for. */
const ASKED_GROUPS = 5;

/** Routes that are added and dropped together, by a number. */
interface Group {
  readonly number: number;
  readonly size: number;
  /** Each time at which the group was added or dropped. */
  readonly turns: Array<{readonly at: number; readonly isPresent: boolean}>;
}

export interface RouteHistory {
  /** Draws the next change, and gives all prefixes that are present then. */
  change(random: Random): readonly string[];
  /** The newest change was acknowledged at this time. */
  acknowledged(at: number): void;
  /** A prefix of a group that was added or dropped lately. */
  drawPrefix(random: Random): string;
  /**
   * Which ways of handling a request for the prefix some version allows that
   * may be in force between the times.
   */
  allowed(
    prefix: string,
    from: number,
    to: number,
  ): {readonly present: boolean; readonly absent: boolean};
}

function prefixOf(group: number, route: number): string {
  return `/g${group}r${route}/`;
}

function groupOf(prefix: string): number {
  return Number(/^\/g(\d+)r/.exec(prefix)?.[1]);
}

export function createRouteHistory(): RouteHistory {
  const groups: Group[] = [];
  let pending: Array<{readonly group: Group; readonly isPresent: boolean}> = [];
  const isPresent = ({turns}: Group) => turns.at(-1)?.isPresent === true;

  const drop = (group: Group | undefined): void => {
    if (group !== undefined && isPresent(group)) {
      pending.push({group, isPresent: false});
    }
  };
  const addNew = (random: Random): void => {
    const most =
      random.next() < SMALL_SHARE ? LARGEST_SMALL_CHANGE : LARGEST_CHANGE;
    const size = 1 + Math.floor(random.next() * most);
    const group: Group = {number: groups.length, size, turns: []};
    groups.push(group);
    pending.push({group, isPresent: true});
  };
  const bringBack = (random: Random): boolean => {
    const gone = groups
      .slice(-ASKED_GROUPS)
      .filter(group => group.turns.length > 0 && !isPresent(group));
    if (gone.length === 0 || random.next() > BRING_BACK_SHARE) return false;
    const group = gone[Math.floor(random.next() * gone.length)];
    pending.push({group, isPresent: true});
    return true;
  };

  return {
    change: random => {
      pending = [];
      if (!bringBack(random)) addNew(random);
      drop(groups.filter(isPresent).at(-KEPT_CHANGES));
      const turned = new Map(pending.map(turn => [turn.group, turn.isPresent]));
      return groups
        .filter(group => turned.get(group) ?? isPresent(group))
        .flatMap(({number, size}) =>
          Array.from({length: size}, (_, at) => prefixOf(number, at)),
        );
    },
    acknowledged: at => {
      for (const turn of pending) {
        turn.group.turns.push({at, isPresent: turn.isPresent});
      }
    },
    drawPrefix: random => {
      const asked = groups.slice(-ASKED_GROUPS);
      const {number, size} = asked[Math.floor(random.next() * asked.length)];
      return prefixOf(number, Math.floor(random.next() * size));
    },
    allowed: (prefix, from, to) => {
      const {turns} = groups[groupOf(prefix)];
      const before = turns.filter(({at}) => at <= from).at(-1);
      const since = turns.filter(({at}) => at > from && at <= to);
      const ways = [
        before?.isPresent ?? false,
        ...since.map(turn => turn.isPresent),
      ];
      return {present: ways.includes(true), absent: ways.includes(false)};
    },
  };
}
