package org.magnoliaswitch.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Runs tasks one step at a time in an order that a seed decides.
 *
 * <p>Each task has a thread, of which only one runs at any time: a task that reaches {@link #step}
 * stops there until it is chosen again. Every run with the same seed is the same.
 */
final class StepScheduler {
  /** Ends a task whose instance was killed. */
  static final class KilledException extends RuntimeException {}

  private static final ThreadLocal<Task> CURRENT = new ThreadLocal<>();

  private static final class Task {
    private final Semaphore mayRun = new Semaphore(0);
    private final String owner;
    private boolean finished;
    private boolean killed;

    private Task(String owner) {
      this.owner = owner;
    }
  }

  private final SplittableRandom random;
  private final List<Task> tasks = new ArrayList<>();
  private final Semaphore stopped = new Semaphore(0);

  StepScheduler(long seed) {
    this.random = new SplittableRandom(seed);
  }

  SplittableRandom random() {
    return random;
  }

  /** Adds a task; it runs when chosen. */
  void add(String owner, Runnable body) {
    Task task = new Task(owner);
    tasks.add(task);
    Thread.ofVirtual()
        .start(
            () -> {
              CURRENT.set(task);
              task.mayRun.acquireUninterruptibly();
              try {
                if (!task.killed) {
                  body.run();
                }
              } catch (KilledException e) {
                // The instance of this task was killed at its last step.
              } finally {
                task.finished = true;
                stopped.release();
              }
            });
  }

  /** A point at which other tasks may go on first, or the task's instance may be killed. */
  void step() {
    Task task = CURRENT.get();
    stopped.release();
    task.mayRun.acquireUninterruptibly();
    if (task.killed) {
      throw new KilledException();
    }
  }

  /** Kills all tasks of an owner at their present steps. */
  void kill(String owner) {
    tasks.stream().filter(task -> task.owner.equals(owner)).forEach(task -> task.killed = true);
  }

  /** Runs all tasks to their ends. */
  void runAll() {
    List<Task> open = new ArrayList<>(tasks);
    while (!open.isEmpty()) {
      Task next = open.get(random.nextInt(open.size()));
      next.mayRun.release();
      stopped.acquireUninterruptibly();
      open = new ArrayList<>(tasks.stream().filter(task -> !task.finished).toList());
    }
  }
}
