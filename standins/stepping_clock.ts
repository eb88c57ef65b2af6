/**
 * Preloaded into a program (`node --import`), it lets a test step the time of
 * day that the program sees: each SIGUSR2 takes the next of the steps in
 * `CLOCK_STEPS_MS`, a list of milliseconds with commas. Steady time goes on.
 */
const steps = (process.env['CLOCK_STEPS_MS'] ?? '').split(',').map(Number);
const readWall = Date.now.bind(Date);
let shiftMs = 0;

Date.now = () => readWall() + shiftMs;
process.on('SIGUSR2', () => {
  shiftMs += steps.shift() ?? 0;
});
