#include "cases.h"
#include "standins.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace waxwingloft::review;
    const std::vector<std::string> arguments(argv, argv + argc);
    if (argc < 3) {
        std::cerr << "usage: " << arguments.front() << " store|executor|CASE ...\n";
        return CouldNotRun;
    }
    const std::vector<std::string> rest(arguments.begin() + 2, arguments.end());
    try {
        if (arguments[1] == "store") {
            return runStore(rest);
        }
        if (arguments[1] == "executor") {
            return runExecutor(rest);
        }
        return runCase(arguments.front(), arguments[1], rest.front());
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return CouldNotRun;
    }
}
