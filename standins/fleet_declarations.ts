/** Declarations of an in-memory fleet, as the first patch gives them. */

export const FLEET_MODEL = 'onyx';
export const FLEET_MODEL_VERSION = '1';
export const ENGINE_POOL = 'onyx-pool';
export const SERVICE_POOL = 'station-app';

/** Two organisations, one model on all engines, one plain service. */
export function createFleetDeclarations(engines: number): object {
  return {
    organisations: {
      'prairie-sky': {weight: 2},
      'ingufu-hamwe': {weight: 1},
    },
    models: {
      [FLEET_MODEL]: {
        version: FLEET_MODEL_VERSION,
        isDefault: true,
        weightBytes: 2_000_000_000,
      },
    },
    services: {[SERVICE_POOL]: {defaultTimeLimitMs: 30_000}},
    placement: {
      [ENGINE_POOL]: {[FLEET_MODEL]: {minReplicas: engines}},
    },
  };
}
