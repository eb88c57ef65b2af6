import {describe, expect, test} from 'vitest';
import {readCapacity, withTables} from '../bench/capacity_page.js';
import {capacityRows} from '../bench/capacity_table.js';
import {fitLine} from '../bench/fit.js';

const {page, file} = readCapacity('.');

describe('the capacity page', () => {
  test('shows the tables that its slopes give', () => {
    expect(page).toBe(withTables(page, file));
  });

  test('rests on three sizes or more for each line', () => {
    const short = file.sweeps.flatMap(({name, series}) =>
      series
        .filter(({payer}) => payer !== 'object-api')
        .filter(({points}) => points.length < 3)
        .map(({figure}) => `${name}: ${figure}`),
    );
    expect(short).toEqual([]);
  });

  test('keeps the line that its points give', () => {
    for (const {series} of file.sweeps) {
      for (const {points, line} of series) {
        expect(line).toEqual(fitLine(points));
      }
    }
  });

  test('has figures for entry, side and object API', () => {
    const roles = new Set(capacityRows(file).map(({role}) => role));
    expect([...roles].sort()).toEqual(['entry', 'object-api', 'side']);
  });
});

describe('a fitted line', () => {
  test('goes through points that lie on one', () => {
    const line = fitLine([
      [1, 5],
      [2, 7],
      [4, 11],
    ]);
    expect(line.slope).toBeCloseTo(2);
    expect(line.intercept).toBeCloseTo(3);
    expect(line.r2).toBeCloseTo(1);
    expect(line.residual).toBeCloseTo(0);
  });

  test('tells how far points lie off it', () => {
    const line = fitLine([
      [0, 0],
      [1, 3],
      [2, 0],
    ]);
    expect(line.slope).toBeCloseTo(0);
    expect(line.r2).toBeCloseTo(0);
    expect(line.residual).toBeCloseTo(Math.SQRT2);
  });
});
