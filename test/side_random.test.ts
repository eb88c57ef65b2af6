/** Random faults for thousands of steps, then quiet: nothing may be left. */
import {expect, test} from 'vitest';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createSideRig} from './support/side_rig.js';
import type {EntryChannel, SideRig} from './support/side_rig.js';

const STEPS = 600;

/** Plays entries and faults against one side, from one seed. */
class Chaos {
  private readonly random;
  private readonly channels = new Map<string, EntryChannel[]>();
  private readonly toldNotRun = new Set<string>();
  /** The incarnation that an id was offered to. */
  private readonly offeredTo = new Map<string, string>();
  private incarnation = 1;
  private count = 0;

  constructor(
    private readonly rig: SideRig,
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
  }

  private below(limit: number): number {
    return Math.floor(this.random.next() * limit);
  }

  private pick(): string {
    const ids = [...this.channels.keys()].slice(-30);
    return ids[this.below(ids.length)] ?? 'none.0';
  }

  private keep(id: string, channel: EntryChannel): void {
    this.channels.set(id, [...(this.channels.get(id) ?? []), channel]);
  }

  private async dispatch(): Promise<void> {
    const id = `r${this.count++}.0`;
    const isGroup = this.below(8) === 0;
    const promptTokens = 10 ** (3 + this.below(3));
    const group = {lead: this.below(2) === 0, size: 2, holdTokens: 150_000};
    const incarnation = `i${this.incarnation}`;
    this.offeredTo.set(id, incarnation);
    const answer = await this.rig.offer(id, {
      incarnation,
      organisation: `org-${this.below(3)}`,
      promptTokens,
      maxTokens: 1 + this.below(300),
      timeLeftMs: 1_000 + this.below(120_000),
      priority: this.below(3),
      ...(isGroup ? {group} : {}),
    });
    if (answer.kind === 'refused') this.toldNotRun.add(id);
    else if (this.below(10) > 0) await this.go(id, 3);
    else this.channels.set(id, []);
  }

  private async go(id: string, slowness: number): Promise<void> {
    await this.rig.clock.runFor(this.below(slowness) * 400);
    const channel = this.rig.go(id, 60_000, this.offeredTo.get(id));
    this.keep(id, channel);
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from(id)});
    if (this.below(12) > 0) channel.send({kind: 'prompt-end', count: 1});
  }

  private async restartSide(): Promise<void> {
    await this.rig.kill();
    await this.rig.clock.runFor(this.below(3_000));
    this.incarnation += 1;
    await this.rig.restart(`i${this.incarnation}`);
  }

  private async killEngine(): Promise<void> {
    this.rig.model.die();
    await this.rig.clock.runFor(this.below(8_000));
    this.rig.model.restart();
  }

  private async freezeEngine(): Promise<void> {
    this.rig.model.freeze(true);
    await this.rig.clock.runFor(this.below(6_000));
    this.rig.model.freeze(false);
  }

  private async muteEngine(): Promise<void> {
    this.rig.engine.setSilent(true);
    await this.rig.clock.runFor(this.below(6_000));
    this.rig.engine.setSilent(false);
  }

  private async abandon(id: string): Promise<void> {
    const {state} = await this.rig.abandon(
      id,
      'entry-1',
      this.offeredTo.get(id),
    );
    if (state === 'never-started') this.toldNotRun.add(id);
  }

  async step(): Promise<void> {
    const id = this.pick();
    const actions: ReadonlyArray<() => unknown> = [
      () => this.channels.get(id)?.at(-1)?.silence(),
      () => this.channels.get(id)?.at(-1)?.close(),
      () => this.channels.get(id)?.at(-1)?.send({kind: 'cancel'}),
      () => this.abandon(id),
      () => this.go(id, 1),
      () => this.keep(id, this.rig.attach(id, this.below(9), 'entry-1')),
      () => this.rig.heartbeat([...this.channels.keys()].slice(-20)),
      () => this.rig.engine.cut(),
      () => this.rig.engine.silenceOpen(),
      () => (this.below(6) === 0 ? this.restartSide() : undefined),
      () => (this.below(6) === 0 ? this.killEngine() : undefined),
      () => (this.below(6) === 0 ? this.freezeEngine() : undefined),
      () => (this.below(6) === 0 ? this.muteEngine() : undefined),
      () => (this.below(6) === 0 ? this.rig.clock.advance(15_000) : undefined),
    ];
    await this.dispatch();
    await actions[this.below(actions.length)]?.();
    await this.rig.clock.runFor(this.below(400));
  }

  /** Ids of which somebody was told that they did not run. */
  notRun(): readonly string[] {
    for (const [id, channels] of this.channels) {
      for (const channel of channels) {
        const failed = channel.last('failed');
        if (failed?.kind === 'failed' && failed.ran === 'no') {
          this.toldNotRun.add(id);
        }
      }
    }
    return [...this.toldNotRun];
  }

  quiet(): void {
    for (const channel of [...this.channels.values()].flat()) channel.close();
  }
}

test.each([1, 2, 3, 4, 5, 6])(
  'after random faults nothing is held and nothing ran twice, seed %i',
  async seed => {
    const rig = await createSideRig();
    const chaos = new Chaos(rig, seed);
    for (let i = 0; i < STEPS; i++) await chaos.step();
    chaos.quiet();
    await rig.clock.runFor(200_000);
    expect(rig.violations).toEqual([]);
    expect(rig.model.counts().usedTokens).toBe(0);
    const status = await rig.status();
    expect(status).toMatchObject({reservedTokens: 0, runs: [], channels: 0});
    const starts = rig.model.counts().runsStarted;
    expect(Object.entries(starts).filter(([, n]) => n > 1)).toEqual([]);
    expect(chaos.notRun().filter(id => id in starts)).toEqual([]);
    expect(chaos.notRun().length).toBeGreaterThan(20);
    expect(Object.keys(starts).length).toBeGreaterThan(20);
  },
);
