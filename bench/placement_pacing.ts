/**
 * Time until engines serve a new model, by the number of loads at once, on a
 * weight store of one shared rate. Run: npx tsx bench/placement_pacing.ts
 */
import {
  createPlacementFleet,
  declareModel,
} from '../test/support/placement_fleet.js';

const ENGINES = 6;
const BYTES_PER_SEC = 240e6;
const LIMIT_MS = 2_000_000;

async function trial(maxLoads: number) {
  const fleet = await createPlacementFleet({
    sides: ENGINES,
    bytesPerSec: BYTES_PER_SEC,
  });
  await fleet.addPlacer({limits: {maxLoads, targetLoadMs: LIMIT_MS}});
  fleet.declare(1, declareModel('1', {minReplicas: ENGINES}));
  const readyAt: number[] = [];
  let readyMs = 0;
  await fleet.runFor(LIMIT_MS, () => {
    const ready = fleet.sides.filter(({models}) => models[0]?.ready).length;
    while (readyAt.length < ready) readyAt.push(fleet.clock.now());
    readyMs += ready * 100;
  });
  await fleet.stop();
  const seconds = (ms: number) => Math.round(ms / 1_000);
  return {
    maxLoads,
    firstReadySec: seconds(readyAt[0]),
    halfReadySec: seconds(readyAt[ENGINES / 2 - 1]),
    allReadySec: seconds(readyAt[ENGINES - 1]),
    engineSecondsOfService: seconds(readyMs),
  };
}

async function main() {
  const rows = [];
  for (const maxLoads of [1, 2, 4, 6]) rows.push(await trial(maxLoads));
  console.table(rows);
}

void main();
