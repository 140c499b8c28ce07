#ifndef POPLARROAD_TESTS_CORPUS_H
#define POPLARROAD_TESTS_CORPUS_H

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace poplarroad::test
{

/** @return file name and content of each input in tests/corpus/`kind` */
inline std::vector<std::pair<std::string, std::string>> loadCorpus(const std::string &kind)
{
    std::vector<std::pair<std::string, std::string>> inputs;
    const auto folder = std::filesystem::path(__FILE__).parent_path() / "corpus" / kind;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path(), std::ios::binary);
        inputs.emplace_back(entry.path().filename(), std::string(std::istreambuf_iterator<char>(file), {}));
    }
    return inputs;
}

} // namespace poplarroad::test

#endif
