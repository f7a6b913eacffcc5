/// A process that the soak starts, signals and reaps.
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace WisteriaHill::Soak {

/// Kills the process when it is destroyed. Thread safety: none.
class ChildProcess {
public:
    /// `arguments` begins with the path of the program; standard output and error are appended to `outputPath`.
    ChildProcess(std::vector<std::string> arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Precondition: the process does not run. Throws std::runtime_error when it can't be started.
    void start();

    /// Does nothing when the process does not run.
    void signal(int number) const;

    /// The exit status once the process has ended, or the negated number of the signal that ended it; returned once.
    std::optional<int> reap();

    bool isRunning() const { return this->pid > 0; }

    /// Zero when the process does not run.
    pid_t id() const { return this->pid; }

private:
    std::vector<std::string> arguments;
    std::string outputPath;
    pid_t pid = 0;
};

} // namespace WisteriaHill::Soak
