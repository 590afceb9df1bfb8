package org.magnoliaswitch.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Runs tasks one step at a time in an order that a seed determines.
 *
 * <p>Each task has a thread, of which only one runs at any time: a task that reaches {@link #step}
 * pauses there until it is selected again. Runs with the same seed are identical.
 */
final class StepScheduler {
  /** Thrown in a task whose instance was killed. */
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
  private final Semaphore taskPaused = new Semaphore(0);

  StepScheduler(long seed) {
    this.random = new SplittableRandom(seed);
  }

  SplittableRandom random() {
    return random;
  }

  /** Adds a task, which runs when it is selected. */
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
                // The task's instance was killed at the last step.
              } finally {
                task.finished = true;
                taskPaused.release();
              }
            });
  }

  /** Marks a point at which other tasks may run first or the task's instance may be killed. */
  void step() {
    Task task = CURRENT.get();
    taskPaused.release();
    task.mayRun.acquireUninterruptibly();
    if (task.killed) {
      throw new KilledException();
    }
  }

  /** Kills all tasks of an owner at their current steps. */
  void kill(String owner) {
    tasks.stream().filter(task -> task.owner.equals(owner)).forEach(task -> task.killed = true);
  }

  /** Runs all tasks until they finish. */
  void runAll() {
    List<Task> unfinished = new ArrayList<>(tasks);
    while (!unfinished.isEmpty()) {
      Task next = unfinished.get(random.nextInt(unfinished.size()));
      next.mayRun.release();
      taskPaused.acquireUninterruptibly();
      unfinished = new ArrayList<>(tasks.stream().filter(task -> !task.finished).toList());
    }
  }
}
