# Builds the project on first use and runs a main class of a module. Sourced by the launchers beside this file.
launch() {
    module=$1
    main_class=$2
    shift 2
    root=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
    if [ ! -f "$root/$module/target/runtime.classpath" ]; then
        build_output=$(cd "$root" && mvn -B -q package -DskipTests -pl "$module" -am 2>&1) || {
            printf '%s\n' "$build_output" "$0: the build of $module failed; its output is above." >&2
            exit 70
        }
    fi
    jar="$root/$module/target/$(basename "$module")-0.1.0-SNAPSHOT.jar"
    # shellcheck disable=SC2086
    exec java ${JAVA_OPTS:-} -cp "$jar:$(cat "$root/$module/target/runtime.classpath")" "$main_class" "$@"
}
