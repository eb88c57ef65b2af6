/**
 * Makes certain what an answer to a watch shows beside an item that cannot be
 * read. Another program may have written that item, and its bytes may look like
 * further items: a replica that is gone, or the removal of a sound one.
 */
import type {Changes, Collection} from './collection.js';

/** Beyond this number of items, a list costs less than to read each. */
const MAX_READ = 50;

/**
 * Reads the uncertain items that would change what is known, and those of which
 * the answer shows only the name. Where that fails, or where they are too many,
 * the answer becomes a partial one: items that it shows as removed count as
 * removed until a list shows them, and all others wait for the list.
 */
export async function makeCertain<T>(
  collection: Collection<T>,
  changes: Changes<T>,
  isKnown: (name: string) => boolean,
): Promise<Changes<T>> {
  const {uncertain = new Set<string>(), unread = new Set<string>()} = changes;
  const {read} = collection;
  const changing = [...uncertain].filter(
    name => changes.items.get(name) !== undefined || isKnown(name),
  );
  const names = [...new Set([...changing, ...unread])];
  if (names.length === 0 || read === undefined) return changes;
  if (names.length > MAX_READ) return withoutNews(changes, names);
  const answers = await Promise.all(names.map(name => read(name)));
  if (answers.some(answer => answer.isLeft())) {
    return withoutNews(changes, names);
  }
  const items = new Map(changes.items);
  names.forEach((name, at) => items.set(name, answers[at].unsafeCoerce()));
  return {...changes, items};
}

function withoutNews<T>(
  {position, items}: Changes<T>,
  names: readonly string[],
): Changes<T> {
  const kept = [...items].filter(
    ([name, item]) => item === undefined || !names.includes(name),
  );
  return {position, items: new Map(kept), isPartial: true};
}
