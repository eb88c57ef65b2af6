/** How an answer names its model. */
import type {ModelId} from '../types/ids.js';

/** `MODEL`, or `MODEL:ADAPTER` with an adapter, as callers ask for it. */
export function modelName(of: {
  readonly model: ModelId;
  readonly adapter: string;
}): string {
  return of.adapter === '' ? of.model : `${of.model}:${of.adapter}`;
}
