/**
 * Converts between the keyed form of the declarations, which operators patch,
 * and the list form, which services read. Both hold the same values. Lists are
 * sorted in a fixed order, so that equal declarations give equal documents,
 * whatever the order of the patches.
 */
import type {Declarations} from '../types/config.js';
import type {KeyedDeclarations} from './declarations_schema.js';

type ByKey<T> = Record<string, T>;

/**
 * Converts lists to objects by id. Of two items with the same id, the later one
 * is kept.
 */
export function toKeyed(declarations: Declarations): KeyedDeclarations {
  return {
    organisations: keyBy(declarations.organisations, 'id'),
    models: keyBy(declarations.models, 'id'),
    priorityClasses: keyBy(declarations.priorityClasses, 'name'),
    lengthClasses: keyBy(declarations.lengthClasses, 'name'),
    services: keyBy(declarations.services, 'pool'),
    placement: keyPlacement(declarations.placement),
    policy: {...declarations.policy},
  } as KeyedDeclarations;
}

/**
 * Converts objects by id to lists. Priority classes are sorted by priority,
 * length classes by `maxTokens`, and all other lists by id.
 */
export function fromKeyed(keyed: KeyedDeclarations): Declarations {
  return {
    organisations: toSortedList(keyed.organisations, 'id'),
    models: toSortedList(keyed.models, 'id'),
    priorityClasses: toSortedList(keyed.priorityClasses, 'name').sort(
      (a, b) => a.priority - b.priority,
    ),
    lengthClasses: toSortedList(keyed.lengthClasses, 'name').sort(
      (a, b) => a.maxTokens - b.maxTokens,
    ),
    services: toSortedList(keyed.services, 'pool'),
    placement: sortedEntries(keyed.placement).flatMap(([pool, models]) =>
      toSortedList(models, 'model').map(wish => ({pool, ...wish})),
    ),
    policy: keyed.policy,
  };
}

function keyBy<T extends object, K extends keyof T & string>(
  items: readonly T[],
  key: K,
): ByKey<Omit<T, K>> {
  return Object.fromEntries(
    items.map(item => {
      const {[key]: name, ...rest} = item;
      return [String(name), rest];
    }),
  );
}

function keyPlacement(
  wishes: Declarations['placement'],
): KeyedDeclarations['placement'] {
  const byPool: KeyedDeclarations['placement'] = {};
  for (const {pool, model, ...rest} of wishes) {
    byPool[pool] = {...byPool[pool], [model]: rest};
  }
  return byPool;
}

function toSortedList<T extends object, K extends string>(
  items: ByKey<T>,
  key: K,
): Array<T & Record<K, string>> {
  return sortedEntries(items).map(
    ([name, item]) => ({[key]: name, ...item}) as T & Record<K, string>,
  );
}

function sortedEntries<T>(items: ByKey<T>): Array<[string, T]> {
  return Object.entries(items).sort(([a], [b]) => (a < b ? -1 : 1));
}
