/**
 * Proxies on the paths from one instance to all upstreams, in a child process, so that the instance alone can be cut off.
 *
 * @packageDocumentation
 */

import { connect, type Socket } from "node:net";
import { type Child, programs, startChild } from "./child.js";
import { FaultProxy, noFault } from "./soak/fault-proxy.js";

/**
 * How an instance is cut off.
 *
 * - `silent`: open connections carry nothing, new ones are never established.
 * - `refusing`: open connections are reset, new ones refused.
 * - `new-refused`: open connections live on, new ones are refused.
 * - `lossy`: parts of the data arrive late, as after retransmissions.
 */
export type PathCut = "silent" | "refusing" | "new-refused" | "lossy";

/** Pending connections that a proxy holds; further ones are not established while its process is suspended. */
const backlog = 8;

/** Share of the data that a lossy path delays, and the delay in milliseconds. */
const lossShare = 0.3;
const retransmissionMs = 120;

/** Interval of the timer that shows that this process was suspended, and the age from which it does, in milliseconds. */
const tickMs = 50;
const suspendedMs = 400;

/** Time for which this process counts as resuming, in milliseconds. */
const resumeMs = 200;

/** Messages from the controller to the process of the proxies. */
interface ProxyCommand {
    readonly cut: PathCut | undefined;
    /** Ports of the upstreams whose paths are changed. */
    readonly targetPorts: readonly number[];
}

/**
 * Runs the proxies in this process until it is stopped.
 *
 * @param targetPorts - The ports of the upstreams.
 */
export const runPathProxies = async (targetPorts: readonly number[]): Promise<void> => {
    let lastTickMs = performance.now();
    let resumedAtMs = -Infinity;
    const tick = (): void => {
        const nowMs = performance.now();
        resumedAtMs = nowMs - lastTickMs > suspendedMs ? nowMs : resumedAtMs;
        lastTickMs = nowMs;
    };
    setInterval(tick, tickMs);
    const isResuming = (): boolean => {
        tick();
        return lastTickMs - resumedAtMs < resumeMs;
    };
    const proxies = targetPorts.map(port => new FaultProxy(() => port, isResuming));
    const ports = await Promise.all(proxies.map(proxy => proxy.listen(0, backlog)));
    process.on("message", ({ cut, targetPorts: changed }: ProxyCommand) => {
        targetPorts.forEach((port, index) => {
            const proxy = proxies[index];
            if (proxy !== undefined && changed.includes(port)) {
                void apply(proxy, cut, ports[index] ?? 0);
            }
        });
    });
    process.stdout.write(`${JSON.stringify({ ports })}\n`);
};

const apply = async (proxy: FaultProxy, cut: PathCut | undefined, port: number): Promise<void> => {
    proxy.fault = cut === "lossy" ? { ...noFault, lateShare: lossShare, delayMs: retransmissionMs } : noFault;
    if (cut === "refusing" || cut === "new-refused") {
        proxy.stopListening();
    }
    if (cut === "refusing") {
        proxy.reset();
    }
    if (cut === undefined && !proxy.isListening) {
        await proxy.listen(port, backlog);
    }
};

/** Controls the paths of one instance. */
export class PathProxies {
    private readonly fillers = new Set<Socket>();

    private constructor(
        private readonly child: Child,
        private readonly targetPorts: readonly number[],
        readonly ports: readonly number[],
    ) {}

    /** Starts proxies to the given ports. */
    static async start(targetPorts: readonly number[]): Promise<PathProxies> {
        const child = startChild(programs.standin, ["path-proxies", "--targets", targetPorts.join(",")], { hasChannel: true });
        const { ports } = await child.line<{ readonly ports: readonly number[]; }>("ports");
        return new PathProxies(child, targetPorts, ports);
    }

    /** Returns the port under which the instance reaches an upstream. */
    portOf(targetPort: number): number {
        return this.ports[this.targetPorts.indexOf(targetPort)] ?? targetPort;
    }

    /**
     * Cuts paths.
     *
     * @param cut - How.
     * @param targetPorts - The ports of the upstreams; a silent cut is one of all.
     */
    cut(cut: PathCut, targetPorts: readonly number[] = this.targetPorts): void {
        if (cut === "silent") {
            this.child.process.kill("SIGSTOP");
            this.ports.forEach(port => this.fillBacklog(port));
            return;
        }
        this.child.process.send({ cut, targetPorts } satisfies ProxyCommand);
    }

    /** Restores the paths. */
    heal(): void {
        this.fillers.forEach(socket => socket.destroy());
        this.fillers.clear();
        this.child.process.kill("SIGCONT");
        this.child.process.send({ cut: undefined, targetPorts: this.targetPorts } satisfies ProxyCommand);
    }

    /** Ends the process of the proxies. */
    stop(): Promise<void> {
        this.fillers.forEach(socket => socket.destroy());
        this.child.process.kill("SIGCONT");
        return this.child.stop();
    }

    /** Connects until the queue of pending connections is full, so that further ones hang. */
    private fillBacklog(port: number): void {
        Array.from({ length: backlog + 2 }, () => {
            const socket = connect({ host: "127.0.0.1", port });
            socket.on("error", () => undefined);
            this.fillers.add(socket);
        });
    }
}
