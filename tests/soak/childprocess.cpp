#include "soak/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace WisteriaHill::Soak {

namespace {

constexpr mode_t logMode = 0644;

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::string outputPath)
    : arguments(std::move(arguments))
    , outputPath(std::move(outputPath))
{
}

ChildProcess::~ChildProcess()
{
    if (!this->isRunning())
        return;
    this->signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
}

void ChildProcess::start()
{
    std::vector<char*> words;
    for (std::string& argument : this->arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, this->outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + this->arguments[0] + ": " + std::generic_category().message(error));
}

void ChildProcess::signal(int number) const
{
    if (this->isRunning())
        kill(this->pid, number);
}

std::optional<int> ChildProcess::reap()
{
    int status = 0;
    if (!this->isRunning() || waitpid(this->pid, &status, WNOHANG) != this->pid)
        return std::nullopt;
    this->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace WisteriaHill::Soak
