/** After random faults a side must hold nothing and have run nothing twice. */
import {expect, test} from 'vitest';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createSideRig} from './support/side_rig.js';
import type {EntryChannel, SideRig} from './support/side_rig.js';

const STEPS = 600;

/** Simulates entries and injects faults at one side, driven by one seed. */
class FaultInjector {
  private readonly random;
  private readonly channels = new Map<string, EntryChannel[]>();
  private readonly reportedNotRun = new Set<string>();
  /** The incarnation that an id was offered to. */
  private readonly offeredTo = new Map<string, string>();
  private incarnation = 1;
  private dispatchCount = 0;

  constructor(
    private readonly rig: SideRig,
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
  }

  /** A random integer from 0 to `limit` - 1. */
  private draw(limit: number): number {
    return Math.floor(this.random.next() * limit);
  }

  /** One of the latest 30 dispatches. */
  private pickRecentId(): string {
    const ids = [...this.channels.keys()].slice(-30);
    return ids[this.draw(ids.length)] ?? 'none.0';
  }

  private addChannel(id: string, channel: EntryChannel): void {
    this.channels.set(id, [...(this.channels.get(id) ?? []), channel]);
  }

  private async dispatch(): Promise<void> {
    const id = `r${this.dispatchCount++}.0`;
    const isGroup = this.draw(8) === 0;
    const promptTokens = 10 ** (3 + this.draw(3));
    const group = {lead: this.draw(2) === 0, size: 2, holdTokens: 150_000};
    const incarnation = `i${this.incarnation}`;
    this.offeredTo.set(id, incarnation);
    const answer = await this.rig.offer(id, {
      incarnation,
      organisation: `org-${this.draw(3)}`,
      promptTokens,
      maxTokens: 1 + this.draw(300),
      timeLeftMs: 1_000 + this.draw(120_000),
      priority: this.draw(3),
      ...(isGroup ? {group} : {}),
    });
    if (answer.kind === 'refused') this.reportedNotRun.add(id);
    else if (this.draw(10) > 0) await this.go(id, 3);
    else this.channels.set(id, []);
  }

  private async go(id: string, maxDelaySteps: number): Promise<void> {
    await this.rig.clock.runFor(this.draw(maxDelaySteps) * 400);
    const channel = this.rig.go(id, 60_000, this.offeredTo.get(id));
    this.addChannel(id, channel);
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from(id)});
    if (this.draw(12) > 0) channel.send({kind: 'prompt-end', count: 1});
  }

  private async restartSide(): Promise<void> {
    await this.rig.kill();
    await this.rig.clock.runFor(this.draw(3_000));
    this.incarnation += 1;
    await this.rig.restart(`i${this.incarnation}`);
  }

  private async killEngine(): Promise<void> {
    this.rig.model.die();
    await this.rig.clock.runFor(this.draw(8_000));
    this.rig.model.restart();
  }

  private async freezeEngine(): Promise<void> {
    this.rig.model.freeze(true);
    await this.rig.clock.runFor(this.draw(6_000));
    this.rig.model.freeze(false);
  }

  private async silenceEngine(): Promise<void> {
    this.rig.engine.setSilent(true);
    await this.rig.clock.runFor(this.draw(6_000));
    this.rig.engine.setSilent(false);
  }

  private async abandon(id: string): Promise<void> {
    const {state} = await this.rig.abandon(
      id,
      'entry-1',
      this.offeredTo.get(id),
    );
    if (state === 'never-started') this.reportedNotRun.add(id);
  }

  async step(): Promise<void> {
    const id = this.pickRecentId();
    const actions: ReadonlyArray<() => unknown> = [
      () => this.channels.get(id)?.at(-1)?.silence(),
      () => this.channels.get(id)?.at(-1)?.close(),
      () => this.channels.get(id)?.at(-1)?.send({kind: 'cancel'}),
      () => this.abandon(id),
      () => this.go(id, 1),
      () => this.addChannel(id, this.rig.attach(id, this.draw(9), 'entry-1')),
      () => this.rig.heartbeat([...this.channels.keys()].slice(-20)),
      () => this.rig.engine.cut(),
      () => this.rig.engine.silenceOpen(),
      () => (this.draw(6) === 0 ? this.restartSide() : undefined),
      () => (this.draw(6) === 0 ? this.killEngine() : undefined),
      () => (this.draw(6) === 0 ? this.freezeEngine() : undefined),
      () => (this.draw(6) === 0 ? this.silenceEngine() : undefined),
      () => (this.draw(6) === 0 ? this.rig.clock.advance(15_000) : undefined),
    ];
    await this.dispatch();
    await actions[this.draw(actions.length)]?.();
    await this.rig.clock.runFor(this.draw(400));
  }

  /** Ids that were reported as not run to any entry. */
  idsReportedNotRun(): readonly string[] {
    for (const [id, channels] of this.channels) {
      for (const channel of channels) {
        const failed = channel.last('failed');
        if (failed?.kind === 'failed' && failed.ran === 'no') {
          this.reportedNotRun.add(id);
        }
      }
    }
    return [...this.reportedNotRun];
  }

  closeAllChannels(): void {
    for (const channel of [...this.channels.values()].flat()) channel.close();
  }
}

test.each([1, 2, 3, 4, 5, 6])(
  'random faults leave no held memory and no dispatch run twice, seed %i',
  async seed => {
    const rig = await createSideRig();
    const injector = new FaultInjector(rig, seed);
    for (let i = 0; i < STEPS; i++) await injector.step();
    injector.closeAllChannels();
    await rig.clock.runFor(200_000);
    expect(rig.violations).toEqual([]);
    expect(rig.model.counts().usedTokens).toBe(0);
    const status = await rig.status();
    expect(status).toMatchObject({reservedTokens: 0, runs: [], channels: 0});
    const starts = rig.model.counts().runsStarted;
    expect(Object.entries(starts).filter(([, n]) => n > 1)).toEqual([]);
    expect(injector.idsReportedNotRun().filter(id => id in starts)).toEqual([]);
    expect(injector.idsReportedNotRun().length).toBeGreaterThan(20);
    expect(Object.keys(starts).length).toBeGreaterThan(20);
  },
);
