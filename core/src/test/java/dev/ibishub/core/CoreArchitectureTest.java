package dev.ibishub.core;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackages;
import static com.tngtech.archunit.lang.conditions.ArchConditions.callMethodWhere;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.Serializable;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.InstantSource;
import java.util.Random;
import java.util.Timer;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Checks that the core gets time, randomness and threads from its callers, so that every fault can
 * be reproduced deterministically.
 */
@AnalyzeClasses(packages = "dev.ibishub.core", importOptions = ImportOption.DoNotIncludeTests.class)
class CoreArchitectureTest {
  @ArchTest
  static final ArchRule CORE_DOES_NO_INPUT_OR_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat(
              resideInAPackage("java.nio.file..")
                  .or(resideInAPackage("java.nio.channels.."))
                  .or(resideInAPackage("java.net.."))
                  .or(resideInAPackage("javax.net.."))
                  .or(resideInAPackage("java.io..").and(isNotSerializable())));

  @ArchTest
  static final ArchRule CORE_STARTS_NO_THREAD =
      noClasses()
          .should()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Executor.class)
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(Executors.class, Timer.class)
          .orShould(callMethodWhere(isAsynchronous()));

  @ArchTest
  static final ArchRule CORE_READS_NO_CLOCK =
      noClasses()
          .should(callMethodWhere(isClockRead()))
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(InstantSource.class);

  @ArchTest
  static final ArchRule CORE_USES_NO_RANDOMNESS =
      noClasses()
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(Random.class, ThreadLocalRandom.class, SecureRandom.class)
          .orShould(callMethodWhere(isNamed("java.util.UUID", "randomUUID")))
          .orShould(callMethodWhere(isNamed("java.lang.Math", "random")));

  @ArchTest
  static final ArchRule CORE_DEPENDS_ON_NO_OTHER_MODULE =
      noClasses()
          .should()
          .dependOnClassesThat(
              resideInAPackage("dev.ibishub..").and(resideOutsideOfPackages("dev.ibishub.core..")));

  private static DescribedPredicate<JavaClass> isNotSerializable() {
    return DescribedPredicate.describe(
        "is not java.io.Serializable", type -> !type.isEquivalentTo(Serializable.class));
  }

  private static DescribedPredicate<JavaMethodCall> isClockRead() {
    return DescribedPredicate.describe(
        "reads a clock",
        call -> {
          String name = call.getTarget().getName();
          boolean isJavaTime = call.getTargetOwner().getPackageName().equals("java.time");
          return name.equals("nanoTime")
              || name.equals("currentTimeMillis")
              || (name.equals("now") && isJavaTime);
        });
  }

  private static DescribedPredicate<JavaMethodCall> isAsynchronous() {
    return DescribedPredicate.describe(
        "runs on another thread", call -> call.getTarget().getName().endsWith("Async"));
  }

  private static DescribedPredicate<JavaMethodCall> isNamed(String type, String method) {
    return DescribedPredicate.describe(
        "calls " + method,
        call ->
            call.getTargetOwner().getName().equals(type)
                && call.getTarget().getName().equals(method));
  }
}
