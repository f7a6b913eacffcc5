/// A process that the soak started, and the signals to it.
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace WisteriaHill::Soak {

/// Kills the process when it is destroyed. Thread safety: none.
class ChildProcess {
public:
    /// `arguments` begins with the program; output is appended to `outputPath`.
    ChildProcess(std::vector<std::string> arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Starts it; it must not run. Throws std::runtime_error when it can't be started.
    void start();

    /// Ignored when it doesn't run.
    void signal(int number) const;

    /// Its exit status once it has ended, negative for a signal; given once.
    std::optional<int> reap();

    bool isRunning() const { return this->pid > 0; }

private:
    std::vector<std::string> arguments;
    std::string outputPath;
    pid_t pid = 0;
};

} // namespace WisteriaHill::Soak
