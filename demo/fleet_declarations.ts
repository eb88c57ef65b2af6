/** What the operators of the small fleet declare: classes, limits, models. */
import {createInitialDeclarations} from '../src/config/declarations_schema.js';
import type {Declarations} from '../src/types/config.js';
import type {FleetShape} from './fleet_plan.js';

/** Declarations of both deployments' kinds of work, for a small fleet. */
export function demoDeclarations(
  shape: FleetShape,
  organisations: ReadonlyArray<{id: string; keyHash: string; weight: number}>,
): Declarations {
  return {
    organisations: organisations.map(({id, keyHash, weight}) => ({
      id,
      keyHashes: [keyHash],
      weight,
      maxRunning: 256,
      tokensPerSec: 50_000_000,
    })),
    models: [
      {
        id: shape.model,
        version: shape.modelVersion,
        adapters: [],
        isDefault: true,
        weightBytes: 140_000_000_000,
        maxPromptTokens: 1_000_000,
      },
    ],
    priorityClasses: [
      {name: 'alert', priority: 0, isDefault: false},
      {name: 'interactive', priority: 1, isDefault: true},
      {name: 'batch', priority: 2, isDefault: false},
    ],
    lengthClasses: [
      lengthClass('short', 8_192, 0.15, 0, 30_000),
      lengthClass('medium', 32_768, 0.1, 0, 60_000),
      lengthClass('long', 131_072, 0, 4, 180_000),
      lengthClass('archive', 1_000_000, 0, 1, 600_000),
    ],
    services: [
      {
        pool: shape.servicePool,
        repeatableMethods: ['GET', 'HEAD'],
        maxRunning: 32,
        defaultTimeLimitMs: 15_000,
      },
    ],
    // A wish for a pool without hosts is a fault in the declarations.
    placement: shape.engines === 0 ? [] : [wishOf(shape)],
    policy: createInitialDeclarations().policy,
  };
}

function lengthClass(
  name: string,
  maxTokens: number,
  memoryFloor: number,
  maxRunning: number,
  defaultTimeLimitMs: number,
) {
  return {name, maxTokens, memoryFloor, maxRunning, defaultTimeLimitMs};
}

function wishOf(shape: FleetShape) {
  return {
    pool: shape.enginePool,
    model: shape.model,
    minReplicas: shape.engines,
    minPerFailureDomain: 0,
  };
}
