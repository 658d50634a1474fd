/**
 * An asynchronous queue of messages to one task.
 *
 * @packageDocumentation
 */

/** Queue of messages with a single reader. */
export class Mailbox<Message> {
    private readonly messages: Message[] = [];
    private wake: (() => void) | undefined;

    post(message: Message): void {
        this.messages.push(message);
        this.wake?.();
    }

    /** Removes and returns the oldest message; waits if there is none. */
    async take(): Promise<Message> {
        for (;;) {
            const message = this.messages.shift();
            if (message !== undefined) {
                return message;
            }
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }
}
