package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.Field;
import com.sun.jdi.IntegerValue;
import com.sun.jdi.Method;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.ThreadReference;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.LaunchingConnector;
import com.sun.jdi.event.ClassPrepareEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.MethodEntryEvent;
import com.sun.jdi.event.ThreadStartEvent;
import com.sun.jdi.request.ClassPrepareRequest;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.MethodEntryRequest;
import gingerring.net.Counters;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopTest {
  /**
   * Runs, in a JVM of its own, a loop that counts its timer wakes and a thread that posts to the
   * loop for ever.
   */
  static final class LoopProcess {
    static volatile int timerWakes;
    private static EventLoop loop;

    private LoopProcess() {}

    public static void main(String[] args) {
      loop = new EventLoop(new Counters());
      Thread poster =
          new Thread(
              () -> {
                for (; ; ) {
                  try {
                    Thread.sleep(2);
                  } catch (InterruptedException e) {
                    return;
                  }
                  post();
                }
              },
              "poster");
      poster.setDaemon(true);
      poster.start();
      scheduleNextWake();
      loop.run(() -> {}, () -> {});
    }

    static void post() {
      loop.post(() -> {});
    }

    private static void scheduleNextWake() {
      loop.schedule(
          Duration.ofMillis(5),
          () -> {
            timerWakes++;
            scheduleNextWake();
          });
    }
  }

  private static final int MIN_CALLS = 400;
  private static final long TIMEOUT_MS = 5000;

  /**
   * Suspends the posting thread once in every method that posting calls; the loop has to make
   * progress each time. Guards against a timed wait that spins until the thread that signals it
   * runs: where only one thread of a process runs at a time, that thread never does.
   */
  @Test
  @Timeout(60)
  void loopProgressesWhileAPostingThreadIsSuspended() throws Exception {
    LaunchingConnector launching = Bootstrap.virtualMachineManager().defaultConnector();
    Map<String, Connector.Argument> arguments = launching.defaultArguments();
    arguments.get("main").setValue(LoopProcess.class.getName());
    arguments.get("options").setValue("-cp " + System.getProperty("java.class.path"));
    VirtualMachine child = launching.launch(arguments);
    try {
      Set<String> suspendedIn = suspendAtEachCall(child);
      assertTrue(
          suspendedIn.stream().anyMatch(method -> method.endsWith("EventLoop.post")),
          () -> "suspended in " + suspendedIn);
      assertTrue(suspendedIn.size() >= 4, () -> "suspended in " + suspendedIn);
    } finally {
      child.process().destroyForcibly();
    }
  }

  private static Set<String> suspendAtEachCall(VirtualMachine child) throws InterruptedException {
    ClassPrepareRequest prepareRequest = child.eventRequestManager().createClassPrepareRequest();
    prepareRequest.addClassFilter(LoopProcess.class.getName());
    prepareRequest.enable();
    Set<String> suspendedIn = new LinkedHashSet<>();
    ReferenceType loopProcessType = null;
    boolean posting = false;
    for (int calls = 0; calls < MIN_CALLS; ) {
      EventSet events = child.eventQueue().remove(TIMEOUT_MS);
      assertTrue(events != null, () -> "no further calls after suspending in " + suspendedIn);
      for (Event event : events) {
        if (event instanceof ClassPrepareEvent prepared) {
          loopProcessType = prepared.referenceType();
          child.eventRequestManager().createThreadStartRequest().enable();
        } else if (event instanceof ThreadStartEvent start
            && start.thread().name().equals("poster")) {
          reportMethodEntries(child, start.thread(), "java.util.concurrent.*");
          reportMethodEntries(child, start.thread(), "gingerring.server.*");
        } else if (event instanceof MethodEntryEvent entry) {
          posting |= entry.method().name().equals("post");
          calls += posting ? 1 : 0;
          if (posting && suspendedIn.add(qualifiedName(entry.method()))) {
            assertLoopProgresses(loopProcessType, entry.thread(), entry.method());
          }
        }
      }
      events.resume();
    }
    return suspendedIn;
  }

  private static void reportMethodEntries(
      VirtualMachine child, ThreadReference thread, String classPattern) {
    MethodEntryRequest entries = child.eventRequestManager().createMethodEntryRequest();
    entries.addThreadFilter(thread);
    entries.addClassFilter(classPattern);
    entries.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
    entries.enable();
  }

  private static String qualifiedName(Method method) {
    return method.declaringType().name() + '.' + method.name();
  }

  private static void assertLoopProgresses(
      ReferenceType loopProcessType, ThreadReference poster, Method suspendedMethod)
      throws InterruptedException {
    assertTrue(poster.isSuspended());
    Field field = loopProcessType.fieldByName("timerWakes");
    int wakesBefore = ((IntegerValue) loopProcessType.getValue(field)).value();
    long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (((IntegerValue) loopProcessType.getValue(field)).value() < wakesBefore + 3) {
      assertTrue(
          System.nanoTime() < deadlineNanos,
          () ->
              "the loop makes no progress while a posting thread is suspended in "
                  + qualifiedName(suspendedMethod));
      Thread.sleep(1);
    }
  }
}
