/** Formats the name of a model as it appears in answers. */
import type {ModelId} from '../types/ids.js';

/** `MODEL`, or `MODEL:ADAPTER` with an adapter, as in a caller's request. */
export function modelName(of: {
  readonly model: ModelId;
  readonly adapter: string;
}): string {
  return of.adapter === '' ? of.model : `${of.model}:${of.adapter}`;
}
