import {Right} from 'purify-ts';
import type {ObjectStore} from '../types/platform.js';
export const readLeaseFence = (_: ObjectStore) =>
  Promise.resolve(Right<number>(0));
